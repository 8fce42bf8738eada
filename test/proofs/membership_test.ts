/** Instances keep their slices while single renewals of their membership are lost. */
import test from "ava";
import { Effect } from "effect";
import type { IGroupJoin } from "../../src/services/store/common/partitioned_log.ts";
import { StoreError, StoreFault } from "../../src/services/store/common/partitioned_log.ts";
import { GatewayCluster } from "../harness/gateway_cluster.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";
import { MemberGroup } from "../stand_ins/member_group.ts";

const OPTIONS = { instances: 3, crashForm: CrashForm.BeforeHead, restartForm: RestartForm.SameId };
const STORE_TIMEOUT_MS = 1000;
const LOST_EVERY_MS = 5000;

// Guards against slices that change their owner, and are closed meanwhile, for one lost call.
test("an instance keeps its slices when one renewal of its membership is not answered", async (t) => {
  await GatewayCluster.run(OPTIONS, (cluster) =>
    Effect.gen(function* () {
      const now = () => cluster.nowMs;
      const group = new MemberGroup({ parts: 8, now, countsMoves: true, isSticky: true });
      const { store } = cluster;
      store.join = (join: IGroupJoin) => group.join(join);
      store.owners = () => group.owners();
      yield* cluster.advance(6000);
      const before = cluster.linesOf("slice-opened").length;
      const lostAtMs = new Map<string, number>();
      store.join = (join: IGroupJoin) => {
        const isLost = cluster.nowMs >= (lostAtMs.get(join.member) ?? 0) + LOST_EVERY_MS;
        if (!isLost) return Effect.delay(group.join(join), 10);
        lostAtMs.set(join.member, cluster.nowMs);
        const noAnswer = Effect.fail(new StoreError(StoreFault.NoResponse, "no answer"));
        return Effect.delay(noAnswer, STORE_TIMEOUT_MS);
      };
      yield* cluster.advance(20_000);
      t.true(lostAtMs.size === OPTIONS.instances);
      t.is(cluster.linesOf("slice-opened").length, before);
    }));
});
