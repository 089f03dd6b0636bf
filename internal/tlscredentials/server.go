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

// ServerConfig returns the configuration of the clients' listener. Each handshake uses the credentials of its moment; connections that are
// established are not affected by later ones.
func ServerConfig(s *Store, d ListenerTLS) *tls.Config {
	config := &tls.Config{MinVersion: version(d.MinVersion), NextProtos: []string{alpnHTTP1}}
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.Current().Pair, nil }
	if d.Clients == clientsNone {
		return config
	}
	if config.ClientAuth = tls.RequireAnyClientCert; d.Clients == clientsWanted {
		config.ClientAuth = tls.RequestClientCert
	}
	// The authorities may have changed between a handshake and a resumption, so both are verified here.
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			if d.Clients == clientsRequired {
				return errors.New("no client certificate")
			}
			return nil
		}
		return verifyChain(state.PeerCertificates, s.Current().CA, x509.ExtKeyUsageClientAuth)
	}
	return config
}

// verifyChain verifies a peer's certificates against authorities, for a use of the first one.
func verifyChain(chain []*x509.Certificate, ca *x509.CertPool, usage x509.ExtKeyUsage) error {
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: ca, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}})
	return err
}
