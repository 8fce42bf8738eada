import type { AddressInfo } from "node:net";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import test from "ava";
import { Effect, Result } from "effect";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type {
  IRequestCodec,
  IResponseHead,
  IUpstreamRequest,
  IUpstreamResponse,
} from "../common/opaque_request.ts";
import { UpstreamFault } from "../common/opaque_request.ts";
import { HttpUpstream } from "./http_upstream.ts";

const CODEC: IRequestCodec = {
  readRequest: () => undefined,
  dispatchHeaders: () => [],
  readResponse: (status, headers): IResponseHead => ({
    status,
    headers,
    requestId: headers[headers.findIndex((name) => name.toLowerCase() === "x-id") + 1],
    isNotRun: false,
    isSigned: true,
  }),
};

async function listen(serve: (req: IncomingMessage, res: ServerResponse) => void): Promise<Server> {
  const server = createServer(serve);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

function backendOf(server: Server): IBackendEntry {
  const { port } = server.address() as AddressInfo;
  const rest = { service: "s", zone: "z", slots: 1, isDraining: false, startedAtMs: 0 };
  return { id: "b", host: "127.0.0.1", port, ...rest };
}

function requestOf(requestId: string): IUpstreamRequest {
  const headers = ["Host", "h", "X-Id", requestId];
  return { requestId, method: "GET", target: "/a/../b?c", headers, body: new Uint8Array() };
}

function readAll({ body }: IUpstreamResponse): Effect.Effect<string, unknown> {
  const chunks: Uint8Array[] = [];
  return Effect.map(body.read((chunk) => chunks.push(chunk)), () => Buffer.concat(chunks).toString());
}

test("completes a request in progress after its server is no longer listed", async (t) => {
  let finish = () => {};
  const server = await listen((req, res) => {
    res.writeHead(200, { "x-id": req.headers["x-id"] });
    res.write("first ");
    finish = () => res.end("last");
  });
  const upstream = new HttpUpstream(CODEC);
  const backend = backendOf(server);
  const response = await Effect.runPromise(upstream.send(backend, requestOf("1")));
  upstream.removeBackend(backend);
  finish();
  t.is(await Effect.runPromise(readAll(response)), "first last");
  server.close();
  upstream.dispose();
});

test("sends the request target unchanged", async (t) => {
  const server = await listen((req, res) => {
    res.writeHead(200, { "x-id": req.headers["x-id"] });
    res.end(req.url);
  });
  const upstream = new HttpUpstream(CODEC);
  const response = await Effect.runPromise(upstream.send(backendOf(server), requestOf("1")));
  t.is(await Effect.runPromise(readAll(response)), "/a/../b?c");
  server.close();
  upstream.dispose();
});

test("treats a response to a different request as a broken connection", async (t) => {
  const server = await listen((_req, res) => {
    res.writeHead(200, { "x-id": "other" });
    res.end("secret");
  });
  const upstream = new HttpUpstream(CODEC);
  const result = await Effect.runPromise(Effect.result(upstream.send(backendOf(server), requestOf("1"))));
  t.true(Result.isFailure(result) && result.failure.fault === UpstreamFault.Broken);
  server.close();
  upstream.dispose();
});

test("fails on a truncated body and reports a refused connection as not sent", async (t) => {
  const server = await listen((req, res) => {
    res.writeHead(200, { "x-id": req.headers["x-id"], "content-length": "100" });
    res.write("part");
    setImmediate(() => res.destroy());
  });
  const upstream = new HttpUpstream(CODEC);
  const backend = backendOf(server);
  const truncated = await Effect.runPromise(
    Effect.result(Effect.flatMap(upstream.send(backend, requestOf("1")), readAll)),
  );
  t.true(Result.isFailure(truncated));
  await new Promise((resolve) => server.close(resolve));
  const refused = await Effect.runPromise(Effect.result(upstream.send(backend, requestOf("2"))));
  t.true(Result.isFailure(refused) && refused.failure.fault === UpstreamFault.NotSent);
  upstream.dispose();
});
