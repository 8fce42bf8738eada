/**
 * Prints, for each part of requests' content that crashes servers, how often it is sent on after the third crash and how long
 * requests that share other parts with it are refused, under virtual time. Options: --seeds, --count (deadly contents at
 * the same time), --outage (time in ms after which all servers end together, while requests arrive at 12 instances every 100 ms).
 */
import { cac } from "cac";
import { DeadlyPart, EntryMode, playDeadly, playDeadlyOutage } from "../test/harness/deadly_part.ts";
import { RoutePath } from "../test/harness/gateway_cluster.ts";
import { CrashForm } from "../test/stand_ins/backend_fleet.ts";

const SERVER_COUNTS = [4, 8, 24];
const CRASH_FORMS = [CrashForm.BeforeHead, CrashForm.MidBody, CrashForm.Silent];

const cli = cac("deadly_parts");
cli.option("--seeds <count>", "number of seeds", { default: 2 });
cli.option("--count <count>", "deadly contents at the same time", { default: 1 });
cli.option("--outage <ms>", "time after which all servers end together; by default they do not");
cli.help();
const { options } = cli.parse();

const single = Object.values(DeadlyPart);
const pairs = single.flatMap((first, index) => single.slice(index + 1).map((second) => [first, second]));
const entries = Object.values(EntryMode);

console.log(
  "| Deadly | Servers | Crash | Plays | Later sends, most | Plays above 3 | Others refused | Longest, ms |",
);
console.log("|---|---|---|---|---|---|---|---|");
for (const parts of [...single.map((part) => [part]), ...pairs]) {
  for (const servers of SERVER_COUNTS) {
    for (const crashForm of CRASH_FORMS) {
      const outcomes = [];
      for (let seed = 0; seed < options.seeds; seed++) {
        const entry = entries[seed % entries.length];
        const route = seed % 2 === 0 ? RoutePath.Turn : RoutePath.ResumableTurn;
        const scenario = { parts, count: options.count, route, servers, crashForm, entry, seed };
        const play = options.outage === undefined
          ? playDeadly(scenario)
          : playDeadlyOutage({ ...scenario, instances: 12, intervalMs: 100, outageAtMs: options.outage });
        outcomes.push(await play);
      }
      const later = outcomes.map(({ laterAttempts }) => Math.max(...laterAttempts));
      const refused = outcomes.reduce((sum, { refusedOthers }) => sum + refusedOthers, 0);
      const longestMs = Math.max(...outcomes.map(({ longestRefusalMs }) => longestRefusalMs));
      const above = later.filter((sends) => sends > 3).length;
      const cells = [
        parts.join(" and "),
        servers,
        crashForm,
        later.length,
        Math.max(...later),
        above,
        refused,
        longestMs,
      ];
      console.log(`| ${cells.join(" | ")} |`);
    }
  }
}
