import { Effect } from "effect";
import { NO_VERSION } from "../../src/services/configuration/common/publication.ts";
import type { Cluster } from "../harness/cluster.ts";
import { TEST_CONFIGURATION } from "../harness/configuration.ts";
import { replaceMethod, testGuarantee } from "./proof.ts";

/** Time within which an accepted configuration must be in force everywhere. */
const PROPAGATION_TIMEOUT_MS = 3000;

function documentWith(preset: string): string {
  return JSON.stringify({ ...TEST_CONFIGURATION, activePreset: preset });
}

/** Returns the configuration version and preset that each instance has in force. */
function activeConfigurations(cluster: Cluster): string[] {
  return cluster.liveNodes.map(({ core }) =>
    `${core.configuration.version} ${core.configuration.presetName}`
  );
}

testGuarantee("10: of two publications with the same base, the first is in force everywhere", {
  nodes: 3,
  // Without the check of the base version, each instance applies a different publication.
  disableMechanism: ({ core }) => {
    const applyPeerConfiguration = core.configuration.applyPeerConfiguration.bind(core.configuration);
    core.journal.onDidApply(() => {
      applyPeerConfiguration(
        core.configuration.version + 1,
        documentWith(core.self.instanceId === "n0" ? "peak" : "ordinary"),
      );
    });
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const base = cluster.liveNodes[0].core.configuration.version;
      yield* cluster.publish(documentWith("peak"), base);
      yield* cluster.publish(documentWith("ordinary"), base);
      yield* cluster.publish("{ not valid", base + 1);
      yield* cluster.runToCompletion(cluster.open("n0"));
      yield* cluster.advance(PROPAGATION_TIMEOUT_MS);
      return [...new Set(activeConfigurations(cluster))].join() === "1 peak"
        ? []
        : activeConfigurations(cluster);
    }),
});

testGuarantee("10: an instance without access to the log service gets the configuration from its peers", {
  nodes: 3,
  // Neither the document nor the log stream is available from peers.
  disableMechanism: ({ core }) => {
    replaceMethod(core.configuration, "applyPeerConfiguration", () => {});
    Object.defineProperty(core.membership, "peers", { get: () => [] });
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      cluster.node("n2").isLogDisconnected = true;
      yield* cluster.advance(500);
      const base = cluster.liveNodes[0].core.configuration.version;
      yield* cluster.publish(documentWith("peak"), base);
      yield* cluster.advance(PROPAGATION_TIMEOUT_MS);
      return activeConfigurations(cluster).filter((state) => state !== "1 peak");
    }),
});

testGuarantee(
  "10: an instance that starts during an outage gets the configuration, and versions never go back",
  {
    nodes: 3,
    disableMechanism: ({ core }) =>
      Object.defineProperty(core.configuration, "accepted", { get: () => undefined }),
    scenario: (cluster) =>
      Effect.gen(function* () {
        yield* cluster.publish(documentWith("peak"), 0);
        yield* cluster.advance(PROPAGATION_TIMEOUT_MS);
        cluster.log.setFaults({ outage: true });
        const newNode = yield* cluster.startNode("n3");
        const versions: number[] = [];
        newNode.core.configuration.onDidChange(({ version }) => versions.push(version));
        yield* cluster.advance(PROPAGATION_TIMEOUT_MS);
        const violations = newNode.core.configuration.version === 1
          ? []
          : [`the new instance has version ${newNode.core.configuration.version}`];
        cluster.log.setFaults({ outage: false });
        yield* cluster.advance(PROPAGATION_TIMEOUT_MS);
        const wentBack = versions.some((version, index) => index > 0 && version <= versions[index - 1]);
        return [
          ...violations,
          ...wentBack || versions[0] === NO_VERSION ? [`unexpected versions ${versions.join(", ")}`] : [],
        ];
      }),
  },
);
