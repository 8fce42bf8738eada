/**
 * Losses of power of all instances that a seed determines: turns that continue stored ones are served through any instance soon
 * after the return, whatever the store did meanwhile.
 */
import test from "ava";
import type { IPowerLossPlan } from "../harness/power_loss.ts";
import { planPowerLoss, playPowerLoss, Return, StoreTrouble } from "../harness/power_loss.ts";

/** Time after the return from which each turn must be served; callers come back for 12 s. */
const RECOVERED_MS = 4000;
const SEEDS = (process.env.POWER_LOSS_SEEDS ?? "3,6,11,12,82").split(",").map(Number);

async function findFaults(plan: IPowerLossPlan): Promise<string[]> {
  const { stored, unserved, firstUnserved, refusedUnserved } = await playPowerLoss(plan);
  if (stored === 0) return ["no turn was stored"];
  return [...unserved, ...firstUnserved, ...refusedUnserved]
    .filter(({ afterReturnMs }) => afterReturnMs >= RECOVERED_MS)
    .map((fault) => `seed ${plan.seed}: ${JSON.stringify(fault)}`);
}

for (const seed of SEEDS) {
  test(`stored turns are continued soon after all instances have lost power, seed ${seed}`, async (t) => {
    t.deepEqual(await findFaults(planPowerLoss(seed, { refusesInstance: false })), []);
  });
}

// Guards against calls to former owners for as long as the store refuses an instance.
test("stored turns are continued through an instance that the store refuses", async (t) => {
  const plan = planPowerLoss(4, {
    instances: 5,
    sliceTopics: 2,
    trouble: StoreTrouble.None,
    returning: Return.OneByOne,
    rounds: 3,
    losses: 1,
    isSticky: false,
    refusesInstance: true,
  });
  t.deepEqual(await findFaults(plan), []);
});
