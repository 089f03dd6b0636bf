package fakes

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// CA is a fake certificate authority.
type CA struct {
	PEM  []byte // the authority's own certificate
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

var serial atomic.Int64

// NewCA creates a certificate authority with a new key. The argument name is its common name. Its certificate is
// valid for one day.
func NewCA(name string) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial.Add(1)), Subject: pkix.Name{CommonName: name}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour), BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &CA{PEM: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), cert: cert, key: key}, err
}

// Issued is a certificate and its private key, both encoded as PEM.
type Issued struct{ Certificate, Key []byte }

// Issue creates a certificate for names, each an IP address, a URI or a DNS name. It expires after validity.
func (c *CA) Issue(validity time.Duration, names ...string) (Issued, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Issued{}, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial.Add(1)), Subject: pkix.Name{CommonName: names[0]},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	for _, name := range names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else if strings.Contains(name, "://") {
			uri, err := url.Parse(name)
			if err != nil {
				return Issued{}, err
			}
			template.URIs = append(template.URIs, uri)
		} else {
			template.DNSNames = append(template.DNSNames, name)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, c.cert, &key.PublicKey, c.key)
	if err != nil {
		return Issued{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	return Issued{pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})}, err
}

// Pair returns the certificate in the form that crypto/tls uses.
func (i Issued) Pair() (tls.Certificate, error) { return tls.X509KeyPair(i.Certificate, i.Key) }
