package box_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/wire"
)

// certificate writes a certificate that is its own authority, and its key.
func certificate(t *testing.T) wire.TLS {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "box"},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Now().AddDate(50, 0, 0),
		IPAddresses:           []net.IP{net.ParseIP("127.0.0.1")},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{
			Type:  kind,
			Bytes: data,
		}), 0o600))
		return path
	}
	cert := write("cert.pem", "CERTIFICATE", der)
	return wire.TLS{
		CertFile: cert,
		KeyFile:  write("key.pem", "PRIVATE KEY", private),
		CaFile:   cert,
	}
}

func TestCallersAndPassedOnRequestsAreEncryptedWhenTheSettingsSaySo(t *testing.T) {
	settings := certificate(t)
	synctest.Test(t, func(t *testing.T) {
		d := emptyDomain(t)
		defer d.end()
		d.tls = &settings
		ca, err := os.ReadFile(settings.CaFile)
		d.is.NoErr(err)
		pool := x509.NewCertPool()
		d.is.True(pool.AppendCertsFromPEM(ca))
		d.client.Transport.(*http.Transport).TLSClientConfig = &tls.Config{
			RootCAs: pool,
		}
		d.open("a", "b")

		h := d.ticket("a")
		r := d.send(http.MethodPost, "b", "/s/slots/v1/slots", "order", h) // passed on to a
		d.is.Equal(r.status, http.StatusOK)
		d.is.Equal(r.header.Get("Havenrudder-Box"), "a")

		dump, err := json.Marshal(d.boxes["a"].box.Dump())
		d.is.NoErr(err)
		key, err := os.ReadFile(settings.KeyFile)
		d.is.NoErr(err)
		d.is.True(!strings.Contains(string(dump), string(key[30:60]))) // no secret in a dump
	})
}
