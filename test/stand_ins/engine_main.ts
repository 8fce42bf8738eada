/** Entry point of the fake model engine. Arguments: port, id, comma-separated models. */
import process from "node:process";
import type { ServerResponse } from "node:http";
import { Effect, Exit, Fiber } from "effect";
import { NOT_EXECUTED_HEADER } from "../../src/routing/node/http_backend.ts";
import type { IEngineOrder, IGenerateRequest, IKvCacheEntry } from "../../src/routing/common/model_engine.ts";
import { BackendError, BackendFailure } from "../../src/routing/common/model_engine.ts";
import type { IEngineFaults } from "./engine_core.ts";
import { DEFAULT_ENGINE, EngineCore } from "./engine_core.ts";
import type { IHttpRequestContext } from "./http_shell.ts";
import { parseBody, serve } from "./http_shell.ts";

const QUEUE_COMMENT_INTERVAL_MS = 1000;
const [port, id, models] = process.argv.slice(2);
const bootId = `${id}-${process.pid}`;
const engine = new EngineCore({
  ...DEFAULT_ENGINE,
  id,
  models: models.split(","),
  fetchCachedTokens,
});

function fetchCachedTokens(address: string, programId: string): Effect.Effect<number> {
  return Effect.promise(async () => {
    const response = await fetch(`http://${address}/v1/kv`);
    const { holdings } = await response.json() as { holdings: IKvCacheEntry[] };
    return holdings.find((holding) => holding.programId === programId)?.tokens ?? 0;
  });
}

async function generate({ body, headers, res }: IHttpRequestContext): Promise<void> {
  const req = parseBody<IGenerateRequest>(body);
  const lastEventId = headers["last-event-id"] === undefined ? undefined : Number(headers["last-event-id"]);
  const send = (event: object, eventId?: number) => {
    if (!res.headersSent) res.writeHead(200, { "content-type": "text/event-stream" });
    const idLine = eventId === undefined ? "" : `id: ${eventId}\n`;
    res.write(`${idLine}data: ${JSON.stringify({ attemptId: req.attemptId, ...event })}\n\n`);
  };
  const work = engine.generate(
    { ...req, lastEventId },
    ({ eventId, text }) => send({ token: text }, eventId),
  );
  const fiber = Effect.runFork(work);
  const queueComments = setInterval(() => {
    if (!res.headersSent) res.writeHead(200, { "content-type": "text/event-stream" });
    res.write(": queued\n\n");
  }, QUEUE_COMMENT_INTERVAL_MS);
  res.on("close", () => Effect.runFork(Fiber.interrupt(fiber)));
  const outcome = await Effect.runPromise(Fiber.await(fiber));
  clearInterval(queueComments);
  if (engine.faults.crashed) process.exit(1);
  if (Exit.isSuccess(outcome)) {
    send({ done: outcome.value.usage });
    res.end();
    return;
  }
  respondWithFailure(res, Exit.findErrorOption(outcome));
}

function respondWithFailure(res: ServerResponse, err: unknown): void {
  const failure = (err as { value?: BackendError }).value?.failure;
  if (res.headersSent || failure === BackendFailure.Broken) {
    res.destroy();
    return;
  }
  res.writeHead(failure === BackendFailure.Refused ? 503 : 400, { [NOT_EXECUTED_HEADER]: "1" });
  res.end("{}");
}

serve(Number(port), {
  "POST /v1/generate": generate,
  "POST /v1/cancel": ({ body }) =>
    Effect.runPromise(engine.cancel(parseBody<{ attemptId: string }>(body).attemptId)),
  "POST /v1/kv/release": ({ body }) =>
    Effect.runPromise(engine.releaseKv(parseBody<{ programIds: string[] }>(body).programIds)),
  "POST /v1/kv/import": ({ body }) => {
    const { programId, from } = parseBody<{ programId: string; from: string }>(body);
    return Effect.runPromise(engine.importKv(programId, from));
  },
  "GET /v1/kv": async () => ({ holdings: await Effect.runPromise(engine.listKv()) }),
  "GET /v1/load": async () => ({ ...await Effect.runPromise(engine.getLoadReport()), bootId }),
  "GET /v1/cache-events": async ({ url }) => ({
    events: await Effect.runPromise(engine.listCacheEvents(Number(url.searchParams.get("after")))),
  }),
  "POST /v1/orders": ({ body }) => Effect.runPromise(engine.order(parseBody<IEngineOrder>(body))),
  "POST /control/faults": ({ body }) => {
    Object.assign(engine.faults, parseBody<Partial<IEngineFaults>>(body));
  },
  "GET /control/stats": () => ({ ...engine.stats, held: engine.cachedProgramIds }),
});
