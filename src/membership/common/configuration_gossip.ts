/** Fetches newer configurations from peers, so that instances that cannot reach the log service get them. */
import type { Scope } from "effect";
import { Effect } from "effect";
import type { ConfigurationStore } from "../../services/configuration/common/configuration_store.ts";
import type { Membership } from "./membership.ts";
import type { PeerClients } from "./peer_client.ts";

const FETCH_TIMEOUT_MS = 1000;

/** Fetches the configuration from a peer as soon as its heartbeat reports a newer version. */
export function syncConfigurationFromPeers(
  { membership, peers, configuration }: {
    membership: Membership;
    peers: PeerClients;
    configuration: ConfigurationStore;
  },
): Effect.Effect<void, never, Scope.Scope> {
  return Effect.gen(function* () {
    const scope = yield* Effect.scope;
    const context = yield* Effect.context<never>();
    membership.onDidDiscoverNewerConfiguration(({ address }) => {
      const fetch = peers.call(address, {
        timeoutMs: FETCH_TIMEOUT_MS,
        invoke: (client, signal) => client.getConfiguration({}, { signal }),
      });
      const update = Effect.map(fetch, ({ version, document }) => {
        if (version > configuration.version) configuration.applyPeerConfiguration(version, document);
      });
      Effect.runForkWith(context)(Effect.forkIn(Effect.ignore(update), scope));
    });
  });
}
