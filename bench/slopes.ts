/** Measures how costs grow with size; docs/CAPACITY.md is generated from the slopes. Needs --expose-gc. */
import { writeFileSync } from "node:fs";
import process from "node:process";
import { cac } from "cac";
import { renderFields, renderTable } from "../src/cli/common/output.ts";
import { measureEndToEnd } from "./slopes/end_to_end.ts";
import { measureComponents } from "./slopes/component_costs.ts";

async function main({ out }: { out?: string }): Promise<void> {
  const componentSlopes = measureComponents();
  const { slopes: endToEndSlopes, ...endToEnd } = await measureEndToEnd();
  const slopes = [...componentSlopes, ...endToEndSlopes];
  const rows = slopes.map(({ name, unit, slope, intercept, fit }) => ({
    name,
    slope: slope.toPrecision(4),
    unit,
    intercept: intercept.toPrecision(4),
    fit: fit.toFixed(3),
  }));
  console.log(`${renderTable(rows)}\n\n${renderFields(endToEnd as unknown as Record<string, unknown>)}`);
  if (out !== undefined) writeFileSync(out, `${JSON.stringify({ slopes, endToEnd }, undefined, 2)}\n`);
  process.exit(0);
}

const cli = cac("npm run bench:slopes --");
cli.command("", "Measure the cost of each component at several sizes")
  .option("--out <file>", "Also write the figures as JSON")
  .action(main);
cli.help();
cli.parse();
