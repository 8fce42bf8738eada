/** Entry point of the fake platform with its log service and instance list. Arguments: port. */
import process from "node:process";
import { Buffer } from "node:buffer";
import { Effect } from "effect";
import type { IInstanceInfo } from "../../src/services/instances/common/instance_list.ts";
import type { ILogFaults } from "./log_core.ts";
import { LogCore } from "./log_core.ts";
import { parseBody, serve } from "./http_shell.ts";

const log = new LogCore();
let instances: IInstanceInfo[] = [];

function streamOf(url: URL): string {
  return url.pathname.split("/")[3];
}

serve(Number(process.argv[2]), {
  "POST /v1/streams/*": async ({ url, body }) => ({
    offset: await Effect.runPromise(log.append(streamOf(url), body)),
  }),
  "GET /v1/streams/*": async ({ url }) => {
    const number = (name: string) => Number(url.searchParams.get(name));
    const opts = { from: number("from"), limit: number("limit"), waitMs: number("waitMs") };
    const page = await Effect.runPromise(log.read(streamOf(url), opts));
    const entries = page.entries.map(({ offset, data }) => ({
      offset,
      data: Buffer.from(data).toString("base64"),
    }));
    return { ...page, entries };
  },
  "GET /v1/instances": () => ({ instances }),
  "POST /control/instances": ({ body }) => {
    instances = parseBody(body);
  },
  "POST /control/faults": ({ body }) => log.setFaults(parseBody<Partial<ILogFaults>>(body)),
  "GET /control/stats": () => ({ appends: log.appendCount }),
});
