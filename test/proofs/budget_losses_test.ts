/** Programs of typical use are not told that their budget is exhausted while it has room, although all instances are lost. */
import test from "ava";
import { BudgetRun } from "../harness/budget_run.ts";

/** Share of the programs that may be refused wrongly after several losses: broken turns count at their limit. */
const MAX_WRONG_SHARE = 0.01;

for (
  const { title, lossesAtMs, maxShare } of [
    { title: "after one loss no program", lossesAtMs: [6000], maxShare: 0 },
    { title: "after two losses hardly any program", lossesAtMs: [6000, 14_000], maxShare: MAX_WRONG_SHARE },
    {
      title: "after three losses hardly any program",
      lossesAtMs: [6000, 8000, 10_000],
      maxShare: MAX_WRONG_SHARE,
    },
  ]
) {
  test(`${title} is wrongly told that its budget is exhausted`, async (t) => {
    const { programs } = await new BudgetRun({ seed: 1, durationMs: 20_000, lossesAtMs }).run();
    const wrong = programs.filter(({ isWronglyRefused }) => isWronglyRefused);
    t.log(
      `${wrong.length} of ${programs.length} programs, ${
        programs.filter(({ losses }) => losses > 0).length
      } at a loss`,
    );
    t.true(wrong.length <= programs.length * maxShare, JSON.stringify(wrong));
    for (const { delivered, budget, maxTokens } of programs) t.true(delivered <= budget + maxTokens);
  });
}
