import { create } from "@bufbuild/protobuf";
import test from "ava";
import { Effect } from "effect";
import { LineLogger } from "../../../test/stand_ins/line_logger.ts";
import { Emitter } from "../../base/common/emitter.ts";
import type { LoadDigest } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { BackendLoadSchema, LoadDigestSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { IOutgoingReport } from "../common/outgoing_report.ts";
import type { ReportExchange } from "../common/report_exchange.ts";
import { LoadReporter } from "./load_reporter.ts";

/** The reporter sends to itself. */
const HOST = "127.0.0.61";
const PORT = 7462;

function reportOf(instance: string, running: number): IOutgoingReport {
  const loads = [create(BackendLoadSchema, { backendId: "b", running })];
  return { recipients: [HOST], digest: create(LoadDigestSchema, { instance, loads }) };
}

test("a report that no message can hold keeps neither the others nor later ones from being sent", async (t) => {
  const received: string[] = [];
  let finish = () => {};
  const finished = new Promise<void>((resolve) => finish = resolve);
  const due = [
    [reportOf("odd", 0.5), reportOf("first", 1)],
    undefined,
    [reportOf("odd", 2 ** 32), reportOf("second", 1)],
  ];
  const exchange = {
    onDidHurry: new Emitter<number>().event,
    nextDueInMs: 1,
    takeDue: () => {
      if (due.length === 0) return [];
      const reports = due.shift();
      if (reports === undefined) throw new RangeError("defect");
      return reports;
    },
    receive: ({ instance }: LoadDigest) => {
      received.push(instance);
      if (received.length === 2) finish();
    },
  } as unknown as ReportExchange;
  const logger = new LineLogger("i");
  const reporter = new LoadReporter({ host: HOST, port: PORT, exchange, logger });
  t.teardown(() => reporter.dispose());
  await reporter.listen();
  const work = Effect.andThen(reporter.start(), Effect.promise(() => finished));
  await Effect.runPromise(Effect.scoped(work));
  t.deepEqual(received, ["first", "second"]);
  t.is(logger.lines.filter((line) => line.includes("load-report-failed")).length, 3);
});
