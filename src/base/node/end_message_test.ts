import { once } from "node:events";
import { createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { endMessage } from "./end_message.ts";

test("bodies of all lengths and bytes pass unchanged in both directions", async (t) => {
  const server = createServer(async (req, res) => {
    const body = Buffer.concat(await req.toArray());
    res.writeHead(200, ["Content-Length", String(body.length)]);
    endMessage(res, body);
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  for (const length of [0, 1, 256, 4096, 4097, 100_000]) {
    // A view of a larger buffer, as parsers return.
    const body = new Uint8Array(length + 2).map((_, index) => index).subarray(1, length + 1);
    const headers = ["Host", "h", "Content-Length", String(length)];
    const req = request({ port, host: "127.0.0.1", method: "POST", headers });
    endMessage(req, body);
    const [res] = await once(req, "response");
    t.is(res.headers["content-length"], String(length));
    t.true(Buffer.concat(await res.toArray()).equals(body));
  }
  server.close();
});
