/**
 * Measures under virtual time how many programs are wrongly told that their budget is exhausted when all instances
 * are lost one to three times, and how many turns are granted during an outage of the store. Options: --seeds.
 */
import { cac } from "cac";
import type { IBudgetRunResult } from "../test/harness/budget_run.ts";
import { BudgetRun } from "../test/harness/budget_run.ts";

/** Time between two losses, in ms. */
const LOSS_INTERVALS_MS = [2000, 20_000];
const MAX_LOSSES = 3;
const DURATION_MS = 60_000;
const FIRST_LOSS_MS = 12_000;
const OUTAGE = { fromMs: 12_000, untilMs: 17_000 };

function addUp(results: readonly IBudgetRunResult[]) {
  const programs = results.flatMap((result) => result.programs);
  return {
    programs,
    wrong: programs.filter(({ isWronglyRefused }) => isWronglyRefused).length,
    excess: Math.max(...programs.map(({ delivered, budget, maxTokens }) => delivered - budget - maxTokens)),
    appends: results.reduce((sum, { appends }) => sum + appends, 0),
    grants: results.reduce((sum, { grantsInOutage }) => sum + grantsInOutage, 0),
  };
}

async function main({ seeds }: { seeds: number }): Promise<void> {
  const seedList = Array.from({ length: seeds }, (_, index) => index + 1);
  console.log(
    "losses  interval s  programs at a loss  wrong 402  share %  by turns 1/4/9 %  max. excess  appends",
  );
  for (const intervalMs of LOSS_INTERVALS_MS) {
    for (let losses = 1; losses <= MAX_LOSSES; losses++) {
      const lossesAtMs = Array.from({ length: losses }, (_, index) => FIRST_LOSS_MS + index * intervalMs);
      const results = [];
      for (const seed of seedList) {
        results.push(await new BudgetRun({ seed, durationMs: DURATION_MS, lossesAtMs }).run());
      }
      const { programs, wrong, excess, appends } = addUp(results);
      const touched = programs.filter((program) => program.losses > 0).length;
      const shares = [1, 4, 9].map((turns) => {
        const alike = programs.filter((program) => program.turns === turns);
        const count = alike.filter(({ isWronglyRefused }) => isWronglyRefused).length;
        return (100 * count / alike.length).toFixed(2);
      });
      const share = (100 * wrong / programs.length).toFixed(2);
      console.log(
        [losses, intervalMs / 1000, touched, wrong, share, shares.join("/"), excess, appends].join("\t"),
      );
    }
  }
  const calm = [];
  for (const seed of seedList) {
    calm.push(await new BudgetRun({ seed, durationMs: DURATION_MS, lossesAtMs: [] }).run());
  }
  console.log(`appends without a loss: ${addUp(calm).appends}`);
  const results = [];
  for (const seed of seedList) {
    results.push(
      await new BudgetRun({ seed, durationMs: DURATION_MS, lossesAtMs: [], outage: OUTAGE }).run(),
    );
  }
  console.log(
    `turns granted in an outage of ${(OUTAGE.untilMs - OUTAGE.fromMs) / 1000} s: ${addUp(results).grants}`,
  );
}

const cli = cac("budget_losses");
cli.option("--seeds <count>", "Number of seeds", { default: 3 });
await main(cli.parse().options as { seeds: number });
