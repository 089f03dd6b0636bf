package tlscredentials

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
)

// The values of ListenerTLS.Clients.
const (
	clientsNone     = "none"
	clientsWanted   = "wanted"
	clientsRequired = "required"
)

// alpnHTTP1 is the ALPN name of HTTP/1.1.
const alpnHTTP1 = "http/1.1"

// ServerConfig returns the TLS configuration of the clients' listener. Each handshake uses the credentials that are current then. A later
// change of credentials does not affect connections that are established.
func ServerConfig(s *Store, d ListenerTLS) *tls.Config {
	config := &tls.Config{MinVersion: version(d.MinVersion), NextProtos: []string{alpnHTTP1}}
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.Current().Pair, nil }
	if d.Clients == clientsNone {
		return config
	}
	if config.ClientAuth = tls.RequireAnyClientCert; d.Clients == clientsWanted {
		config.ClientAuth = tls.RequestClientCert
	}
	// This function verifies the client's certificate at each handshake and each resumption, because the CA certificates may have changed in
	// between.
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			if d.Clients == clientsRequired {
				return errors.New("the client presented no certificate")
			}
			return nil
		}
		return verifyChain(state.PeerCertificates, s.Current().CA, x509.ExtKeyUsageClientAuth)
	}
	return config
}

// verifyChain verifies a peer's certificate chain against the CA certificates, and that its first certificate allows the usage.
func verifyChain(chain []*x509.Certificate, ca *x509.CertPool, usage x509.ExtKeyUsage) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: ca, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}})
	return err
}
