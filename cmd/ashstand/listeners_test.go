package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// occupy listens on an address that a pooler is then told to open.
func occupy(t *testing.T, network, address string) {
	t.Helper()
	listener, err := net.Listen(network, address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
}

// Who reaches the address of the statements may send there at once, and expects the pooler's other addresses to be open. So it is
// opened last: a process that can't open another one ends before it has taken a request. Both addresses are occupied here, and the
// error names the one that was tried first.
func TestTheAddressOfStatementsIsOpenedLast(t *testing.T) {
	program, err := built()
	require.NoError(t, err)
	flight, tcp, socket := free(t), free(t), filepath.Join(t.TempDir(), "admin.sock")
	for name, front := range map[string]struct {
		network, address string
		operatorText     string
		wants            string
	}{
		"Flight SQL":         {network: "tcp", address: flight, operatorText: fmt.Sprintf("flight {\n listen = %q\n}\n", flight), wants: "flight: listen tcp " + flight},
		"operators":          {network: "tcp", address: tcp, operatorText: fmt.Sprintf("admin {\n listen = %q\n}\n", tcp), wants: "admin: listen tcp " + tcp},
		"operators' command": {network: "unix", address: socket, operatorText: fmt.Sprintf("admin {\n listen = %q\n}\n", "unix:"+socket), wants: "admin: another process answers at " + socket},
	} {
		t.Run(name, func(t *testing.T) {
			directory, statements := t.TempDir(), free(t)
			occupy(t, "tcp", statements)
			occupy(t, front.network, front.address)
			operatorFile, configFile := filepath.Join(directory, "ashstand.hcl"), filepath.Join(directory, "config.json")
			require.NoError(t, os.WriteFile(operatorFile, []byte(front.operatorText), 0o600))
			config := fmt.Sprintf(configuration, statements, silentDiscovery(t), (&world{}).list(1, true), site)
			require.NoError(t, os.WriteFile(configFile, []byte(config), 0o600))
			cmd := exec.Command(program, "serve", "--file", operatorFile)
			cmd.Env = append(os.Environ(), "EDGE_CONFIG="+configFile)
			output, err := cmd.CombinedOutput()
			require.Error(t, err)
			require.Contains(t, string(output), front.wants)
		})
	}
}
