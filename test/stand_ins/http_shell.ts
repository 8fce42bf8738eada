/** What the stand-ins' programs share: a small HTTP server that ends with its launcher. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import process from "node:process";

export interface IShellCall {
  readonly url: URL;
  readonly headers: IncomingMessage["headers"];
  readonly body: Uint8Array;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/** Handlers by `METHOD /path`; a path that ends in `*` matches by prefix. A handler returns the JSON reply. */
export type ShellRoutes = Record<string, (call: IShellCall) => unknown>;

/** Serves on a port of the loopback and ends when the launcher goes away. */
export function serve(port: number, routes: ShellRoutes): void {
  const server = createServer(async (req, res) => {
    try {
      const url = new URL(req.url ?? "/", "http://localhost");
      const chunks: Uint8Array[] = [];
      for await (const chunk of req) chunks.push(chunk);
      const body = new Uint8Array(await new Blob(chunks as Uint8Array<ArrayBuffer>[]).arrayBuffer());
      const handler = find(routes, `${req.method} ${url.pathname}`);
      if (handler === undefined) return void res.writeHead(404).end("{}");
      const reply = await handler({ url, headers: req.headers, body, req, res });
      if (!res.headersSent && !res.destroyed) res.writeHead(200, { "content-type": "application/json" });
      if (!res.writableEnded && !res.destroyed) res.end(JSON.stringify(reply ?? {}));
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

function find(routes: ShellRoutes, key: string): ShellRoutes[string] | undefined {
  const pattern = Object.keys(routes).find((route) =>
    route === key || (route.endsWith("*") && key.startsWith(route.slice(0, -1)))
  );
  return pattern === undefined ? undefined : routes[pattern];
}
