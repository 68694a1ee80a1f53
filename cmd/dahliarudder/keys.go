package main

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/crypto/bcrypt"
)

// keysCommand returns the command that creates certificates and password hashes for TLS and logins.
func keysCommand() *cobra.Command {
	keys := &cobra.Command{Use: "keys", Short: "Create certificates and password hashes for TLS and logins"}
	var dir string
	var hosts []string
	certificate := &cobra.Command{
		Use:   "certificate",
		Short: "Create a certificate authority and a certificate signed by it, for testing",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := writeTestCertificate(dir, hosts); err != nil {
				return err
			}
			cmd.Printf("%s: ca.pem for clients, relay.pem and relay.key for the relay; valid for 90 days\n", dir)
			return nil
		},
	}
	certificate.Flags().StringVar(&dir, "dir", "tls",
		"output directory; existing files are not overwritten but reported as an error")
	certificate.Flags().StringSliceVar(&hosts, "host", []string{"127.0.0.1", "localhost"},
		"host names and IP addresses that clients connect to")
	keys.AddCommand(certificate, &cobra.Command{
		Use:   "password",
		Short: "Read a password or token from standard input and print its bcrypt hash",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			password, err := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
			if password = strings.TrimRight(password, "\r\n"); password == "" {
				return errors.Join(errors.New("no password on standard input"), err)
			}
			hash, err := bcrypt.GenerateFromPassword([]byte(password), bcrypt.DefaultCost)
			if err != nil {
				return err
			}
			cmd.Println(string(hash))
			return nil
		},
	})
	return keys
}

// writeTestCertificate writes ca.pem, relay.pem and relay.key. The authority's key is discarded, so
// that nobody can sign with it later.
func writeTestCertificate(dir string, hosts []string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	authority, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	from, until := time.Now().Add(-time.Hour), time.Now().AddDate(0, 0, 90)
	ca := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "dahliarudder trial authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotBefore: from, NotAfter: until}
	relay := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "dahliarudder"}, NotBefore: from, NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	for _, h := range hosts {
		if ip := net.ParseIP(h); ip != nil {
			relay.IPAddresses = append(relay.IPAddresses, ip)
		} else {
			relay.DNSNames = append(relay.DNSNames, h)
		}
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &authority.PublicKey, authority)
	if err != nil {
		return err
	}
	relayDER, err := x509.CreateCertificate(rand.Reader, relay, ca, &key.PublicKey, authority)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	for _, f := range []struct {
		name, kind string
		text       []byte
	}{{"ca.pem", "CERTIFICATE", caDER}, {"relay.pem", "CERTIFICATE", relayDER}, {"relay.key", "EC PRIVATE KEY", keyDER}} {
		out, err := os.OpenFile(filepath.Join(dir, f.name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
		if err != nil {
			return err
		}
		if err := errors.Join(pem.Encode(out, &pem.Block{Type: f.kind, Bytes: f.text}), out.Close()); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
	}
	return nil
}
