/** Minimal HTTP server for the fakes that run as processes; it exits with its launcher. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import process from "node:process";

export interface IHttpRequestContext {
  readonly url: URL;
  readonly headers: IncomingMessage["headers"];
  readonly body: Uint8Array;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/** Handlers by `METHOD /path`; a path that ends in `*` matches by prefix. A handler returns the JSON response. */
export type HttpRoutes = Record<string, (call: IHttpRequestContext) => unknown>;

/** Serves on a port of the loopback interface and exits when the launcher disconnects. */
export function serve(port: number, routes: HttpRoutes): void {
  const server = createServer(async (req, res) => {
    try {
      const url = new URL(req.url ?? "/", "http://localhost");
      const chunks: Uint8Array[] = [];
      for await (const chunk of req) chunks.push(chunk);
      const body = new Uint8Array(await new Blob(chunks as Uint8Array<ArrayBuffer>[]).arrayBuffer());
      const handler = findHandler(routes, `${req.method} ${url.pathname}`);
      if (handler === undefined) return void res.writeHead(404).end("{}");
      const result = await handler({ url, headers: req.headers, body, req, res });
      if (!res.headersSent && !res.destroyed) res.writeHead(200, { "content-type": "application/json" });
      if (!res.writableEnded && !res.destroyed) res.end(JSON.stringify(result ?? {}));
    } catch (err) {
      if (!res.headersSent) res.writeHead(503);
      res.end(JSON.stringify({ error: String(err) }));
    }
  });
  server.listen(port, "127.0.0.1", () => process.send?.("ready"));
  process.on("disconnect", () => process.exit(0));
}

export function parseBody<T>(body: Uint8Array): T {
  return JSON.parse(new TextDecoder().decode(body)) as T;
}

function findHandler(routes: HttpRoutes, key: string): HttpRoutes[string] | undefined {
  const pattern = Object.keys(routes).find((route) =>
    route === key || (route.endsWith("*") && key.startsWith(route.slice(0, -1)))
  );
  return pattern === undefined ? undefined : routes[pattern];
}
