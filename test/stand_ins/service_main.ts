/** Entry point of the fake backend server of a service. Arguments: port, id. */
import process from "node:process";
import { Effect, Fiber, Result } from "effect";
import { NOT_EXECUTED_HEADER } from "../../src/routing/node/http_backend.ts";
import { BackendFailure } from "../../src/routing/common/model_engine.ts";
import type { IHttpRequestContext } from "./http_shell.ts";
import { parseBody, serve } from "./http_shell.ts";
import type { IServiceFaults } from "./service_core.ts";
import { ServiceCore } from "./service_core.ts";

const [port, id] = process.argv.slice(2);
const core = new ServiceCore(id);

async function run({ url, headers, body, res }: IHttpRequestContext): Promise<void> {
  const [, , , service, operation] = url.pathname.split("/");
  const idempotencyKey = String(headers["idempotency-key"] ?? "");
  const work = core.run({ service, operation, body, idempotencyKey, isRepeatable: idempotencyKey === "" });
  const fiber = Effect.runFork(Effect.result(work));
  res.on("close", () => Effect.runFork(Fiber.interrupt(fiber)));
  const outcome = await Effect.runPromise(Fiber.join(fiber));
  if (Result.isSuccess(outcome)) {
    res.writeHead(outcome.success.status, { "content-type": "application/json" }).end(outcome.success.body);
    return;
  }
  if (outcome.failure.failure === BackendFailure.Refused) {
    res.writeHead(503, { [NOT_EXECUTED_HEADER]: "1" }).end("{}");
  } else res.destroy();
}

serve(Number(port), {
  "POST /v1/services/*": run,
  "GET /v1/health": () => ({ ok: true }),
  "POST /control/faults": ({ body }) => {
    Object.assign(core.faults, parseBody<Partial<IServiceFaults>>(body));
  },
  "GET /control/stats": () => ({ counts: Object.fromEntries(core.executionCounts) }),
});
