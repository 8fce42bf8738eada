import { Effect } from "effect";
import { NO_VERSION } from "../../src/services/configuration/common/publication.ts";
import type { Cluster } from "../harness/cluster.ts";
import { TEST_CONFIGURATION } from "../harness/configuration.ts";
import { proof, replace } from "./proof.ts";

/** Time within which an accepted configuration must be in force everywhere. */
const IN_FORCE_MS = 3000;

function documentWith(preset: string): string {
  return JSON.stringify({ ...TEST_CONFIGURATION, activePreset: preset });
}

/** What each instance has in force. */
function inForce(cluster: Cluster): string[] {
  return cluster.live.map(({ core }) => `${core.configuration.version} ${core.configuration.presetName}`);
}

proof("10: two operators publish on the same base", {
  nodes: 3,
  // Takes whatever comes last.
  sabotage: ({ core }) => {
    const learn = core.configuration.learn.bind(core.configuration);
    core.journal.onDidApply(() => {
      learn(
        core.configuration.version + 1,
        documentWith(core.self.instanceId === "n0" ? "peak" : "ordinary"),
      );
    });
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const base = cluster.live[0].core.configuration.version;
      yield* cluster.publish(documentWith("peak"), base);
      yield* cluster.publish(documentWith("ordinary"), base);
      yield* cluster.publish("{ not valid", base + 1);
      yield* cluster.drive(cluster.open("n0"));
      yield* cluster.advance(IN_FORCE_MS);
      return [...new Set(inForce(cluster))].join() === "1 peak" ? [] : inForce(cluster);
    }),
});

proof("10: an instance that is cut off from the log service", {
  nodes: 3,
  // Neither the document nor the stream comes through a peer.
  sabotage: ({ core }) => {
    replace(core.configuration, "learn", () => {});
    Object.defineProperty(core.membership, "peers", { get: () => [] });
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      cluster.node("n2").isLogCut = true;
      yield* cluster.advance(500);
      const base = cluster.live[0].core.configuration.version;
      yield* cluster.publish(documentWith("peak"), base);
      yield* cluster.advance(IN_FORCE_MS);
      return inForce(cluster).filter((state) => state !== "1 peak");
    }),
});

proof("10: an instance that starts during an outage, and versions that never go back", {
  nodes: 3,
  sabotage: ({ core }) => Object.defineProperty(core.configuration, "accepted", { get: () => undefined }),
  scenario: (cluster) =>
    Effect.gen(function* () {
      yield* cluster.publish(documentWith("peak"), 0);
      yield* cluster.advance(IN_FORCE_MS);
      cluster.log.set({ outage: true });
      const newcomer = yield* cluster.startNode("n3");
      const seen: number[] = [];
      newcomer.core.configuration.onDidChange(({ version }) => seen.push(version));
      yield* cluster.advance(IN_FORCE_MS);
      const violations = newcomer.core.configuration.version === 1
        ? []
        : [`the newcomer has ${newcomer.core.configuration.version}`];
      cluster.log.set({ outage: false });
      yield* cluster.advance(IN_FORCE_MS);
      const wentBack = seen.some((version, index) => index > 0 && version <= seen[index - 1]);
      return [...violations, ...wentBack || seen[0] === NO_VERSION ? [`versions ${seen.join(", ")}`] : []];
    }),
});
