/**
 * A proof of one promise: the same scenario with the mechanism at work, where no violation may show, and
 * with the mechanism switched off, where one must, or the scenario would prove nothing.
 */
import test from "ava";
import type { Effect } from "effect";
import type { Cluster, IClusterOptions, INode } from "../harness/cluster.ts";
import { Cluster as TestCluster } from "../harness/cluster.ts";

export interface IProof extends IClusterOptions {
  /** Switches the mechanism off on one instance. */
  readonly sabotage: (node: INode, cluster: Cluster) => void;
  /** Causes the failure and returns the violations of the promise that were seen. */
  readonly scenario: (cluster: Cluster) => Effect.Effect<string[], unknown>;
}

/** Declares a proof. The title starts with the number of the promise. */
export function proof(title: string, { sabotage, scenario, ...opts }: IProof): void {
  test(title, async (t) => {
    t.deepEqual(await TestCluster.run(opts, scenario), []);
    const broken = TestCluster.run(opts, (cluster) => {
      cluster.live.forEach((node) => sabotage(node, cluster));
      return scenario(cluster);
    });
    t.not((await broken).length, 0, "the scenario shows no violation with the mechanism switched off");
  });
}

/** Replaces a method of an object for the rest of its life. */
export function replace<T extends object, K extends keyof T>(target: T, name: K, method: T[K]): void {
  Object.defineProperty(target, name, { value: method, configurable: true });
}
