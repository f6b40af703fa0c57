package control

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/commands"
	"github.com/havenrudder/havenrudder/configstore"
	"github.com/havenrudder/havenrudder/wire"
)

// bundleCmd works on bundles: check, sign and diff.
type bundleCmd struct {
	keyFile string
	keyID   string
	out     string
}

var _ subcommands.Command = (*bundleCmd)(nil)

// Name returns the name of the subcommand.
func (*bundleCmd) Name() string { return "bundle" }

// Synopsis says in one line what the subcommand does.
func (*bundleCmd) Synopsis() string { return "check, sign or compare bundles" }

// Usage returns the help of the subcommand.
func (*bundleCmd) Usage() string {
	return `bundle [flags] check FILE...
bundle -key-file FILE -key-id ID -out DIR sign FILE
bundle diff OLD NEW
  check prints every mistake at once, by file and line.
  sign writes what the platform is to publish: DIR/head, DIR/whole and DIR/node/HASH.
  diff says in words what changes.
`
}

// SetFlags sets the flags.
func (c *bundleCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.keyFile, "key-file", "", "file with the Ed25519 seed in base64")
	f.StringVar(&c.keyID, "key-id", "", "id of the key, as the boxes' settings name it")
	f.StringVar(&c.out, "out", "", "folder to write to")
}

// Execute runs one of the verbs.
func (c *bundleCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var err error
	switch {
	case f.Arg(0) == "check" && f.NArg() >= 2:
		err = checkBundles(f.Args()[1:])
	case f.Arg(0) == "sign" && f.NArg() == 2 && c.keyFile != "" && c.keyID != "" && c.out != "":
		err = c.sign(f.Arg(1))
	case f.Arg(0) == "diff" && f.NArg() == 3:
		err = diffBundles(f.Arg(1), f.Arg(2))
	default:
		f.Usage()
		return subcommands.ExitUsageError
	}
	if err != nil {
		return commands.Fail(err)
	}
	return subcommands.ExitSuccess
}

func readBundle(path string) (wire.Bundle, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return wire.Bundle{}, errors.Wrap(err, "bundle")
	}
	return bundle.Parse(path, data)
}

func checkBundles(paths []string) error {
	var all []string
	for _, path := range paths {
		b, err := readBundle(path)
		if err != nil {
			all = append(all, err.Error())
			continue
		}
		fmt.Printf("%s: version %d ok\n", path, b.Version)
	}
	if len(all) > 0 {
		return errors.New(strings.Join(all, "\n"))
	}
	return nil
}

func (c *bundleCmd) sign(path string) error {
	b, err := readBundle(path)
	if err != nil {
		return err
	}
	private, err := readSeed(c.keyFile)
	if err != nil {
		return err
	}
	root, nodes, err := bundle.Split(b)
	if err != nil {
		return err
	}
	for h, n := range nodes {
		if err := writeFile(filepath.Join(c.out, configstore.KeyNode, string(h)), n.Data()); err != nil {
			return err
		}
	}
	whole, err := nodes.Pack()
	if err != nil {
		return err
	}
	if err := writeFile(filepath.Join(c.out, configstore.KeyWhole), whole); err != nil {
		return err
	}
	head, err := json.Marshal(bundle.Sign(b.Version, root, c.keyID, private))
	if err != nil {
		return errors.Wrap(err, "bundle: head")
	}
	return writeFile(filepath.Join(c.out, configstore.KeyHead), head)
}

func readSeed(path string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.Newf("key: %s must hold %d bytes in base64", path, ed25519.SeedSize)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

const (
	dirMode  = 0o755
	fileMode = 0o644
)

func writeFile(path string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return errors.Wrap(err, "bundle")
	}
	return errors.Wrap(os.WriteFile(path, data, fileMode), "bundle")
}

func diffBundles(oldPath, newPath string) error {
	before, err := readBundle(oldPath)
	if err != nil {
		return err
	}
	after, err := readBundle(newPath)
	if err != nil {
		return err
	}
	for _, line := range bundle.Diff(before, after) {
		fmt.Println(line)
	}
	return nil
}
