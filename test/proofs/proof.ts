/**
 * Tests a guarantee with the same scenario twice: with the mechanism enabled, where no violation may occur,
 * and with the mechanism disabled, where one must occur, which shows that the scenario can detect it.
 */
import test from "ava";
import type { Effect } from "effect";
import type { Cluster, IClusterOptions, INode } from "../harness/cluster.ts";
import { Cluster as TestCluster } from "../harness/cluster.ts";

export interface IGuaranteeTest extends IClusterOptions {
  /** Disables the mechanism on one instance. */
  readonly disableMechanism: (node: INode, cluster: Cluster) => void;
  /** Causes the failure and returns the violations of the guarantee that were observed. */
  readonly scenario: (cluster: Cluster) => Effect.Effect<string[], unknown>;
}

/** Declares the test of a guarantee. The title starts with the number by which scripts/prove.mjs selects it. */
export function testGuarantee(title: string, { disableMechanism, scenario, ...opts }: IGuaranteeTest): void {
  test(title, async (t) => {
    t.deepEqual(await TestCluster.run(opts, scenario), []);
    const unprotected = TestCluster.run(opts, (cluster) => {
      cluster.liveNodes.forEach((node) => disableMechanism(node, cluster));
      return scenario(cluster);
    });
    t.not((await unprotected).length, 0, "the scenario detects no violation with the mechanism disabled");
  });
}

/** Replaces a method of an object permanently. */
export function replaceMethod<T extends object, K extends keyof T>(target: T, name: K, method: T[K]): void {
  Object.defineProperty(target, name, { value: method, configurable: true });
}
