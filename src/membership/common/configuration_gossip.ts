/** Brings newer configurations from peers, for instances that do not reach the log service. */
import type { Scope } from "effect";
import { Effect } from "effect";
import type { ConfigurationStore } from "../../services/configuration/common/configuration_store.ts";
import type { Membership } from "./membership.ts";
import type { PeerClients } from "./peer_client.ts";

const CONFIGURATION_TIMEOUT_MS = 1000;

/** Fetches a newer configuration as soon as a peer reports one. */
export function followPeersConfiguration(
  { membership, peers, configuration }: {
    membership: Membership;
    peers: PeerClients;
    configuration: ConfigurationStore;
  },
): Effect.Effect<void, never, Scope.Scope> {
  return Effect.gen(function* () {
    const scope = yield* Effect.scope;
    const context = yield* Effect.context<never>();
    membership.onDidSeeConfiguration(({ address }) => {
      const fetch = peers.call(address, {
        timeoutMs: CONFIGURATION_TIMEOUT_MS,
        invoke: (client, signal) => client.getConfiguration({}, { signal }),
      });
      const learn = Effect.map(fetch, ({ version, document }) => {
        if (version > configuration.version) configuration.learn(version, document);
      });
      Effect.runForkWith(context)(Effect.forkIn(Effect.ignore(learn), scope));
    });
  });
}
