package loommeasure

import (
	"math"
	"time"

	"github.com/xdg-go/scram"
)

const (
	loginPassword = "correct horse"
	// loginIterations is the number of SCRAM iterations that loomentry uses.
	loginIterations = 4096
)

// runLogin runs a SCRAM exchange and returns the processor time of each side.
func runLogin(client *scram.Client, server *scram.Server) (atClient, atServer time.Duration, err error) {
	clientSide, serverSide := client.NewConversation(), server.NewConversation()
	message := ""
	for !serverSide.Done() {
		start := cpuTime()
		message, err = clientSide.Step(message)
		atClient += cpuTime() - start
		if err != nil {
			return 0, 0, err
		}
		start = cpuTime()
		message, err = serverSide.Step(message)
		atServer += cpuTime() - start
		if err != nil {
			return 0, 0, err
		}
	}
	return atClient, atServer, nil
}

// runLogins returns the processor times of n logins in microseconds. With freshClient each login has a new client,
// which derives its keys again, as a new connection of loomserver does.
func runLogins(n int, freshClient bool) (atClient, atServer float64, err error) {
	client, err := scram.SHA256.NewClient("caller-001", loginPassword, "")
	if err != nil {
		return 0, 0, err
	}
	stored, err := client.GetStoredCredentialsWithError(
		scram.KeyFactors{Salt: "sixteen bytes of", Iters: loginIterations})
	if err != nil {
		return 0, 0, err
	}
	var clientTime, serverTime time.Duration
	for range n {
		if freshClient {
			if client, err = scram.SHA256.NewClient("caller-001", loginPassword, ""); err != nil {
				return 0, 0, err
			}
		}
		start := cpuTime()
		server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
		if err != nil {
			return 0, 0, err
		}
		serverTime += cpuTime() - start
		c, s, err := runLogin(client, server)
		if err != nil {
			return 0, 0, err
		}
		clientTime, serverTime = clientTime+c, serverTime+s
	}
	return float64(clientTime.Microseconds()), float64(serverTime.Microseconds()), nil
}

// minLoginTimes returns the minimum processor times of several batches of n logins.
func minLoginTimes(n int, freshClient bool) (atClient, atServer float64, err error) {
	const batches = 5
	atClient, atServer = math.Inf(1), math.Inf(1)
	for range batches {
		c, s, err := runLogins(n, freshClient)
		if err != nil {
			return 0, 0, err
		}
		atClient, atServer = min(atClient, c), min(atServer, s)
	}
	return atClient, atServer, nil
}

func serverLoginTime(n int) (float64, error) {
	_, t, err := minLoginTimes(n, false)
	return t, err
}

func clientLoginTime(n int) (float64, error) {
	t, _, err := minLoginTimes(n, true)
	return t, err
}
