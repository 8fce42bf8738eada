/** A gateway whose event loop stalls, on real sockets: timers that expire meanwhile must not end what has arrived in time. */
import type { Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { KeptConnection } from "../harness/kept_connection.ts";
import { SingleGateway } from "../harness/single_gateway.ts";

const HOST = "127.0.0.65";
const CALLER_PORT = 7541;
const TIMEOUT_MS = 60_000;
/** Longer than the time without an event after which a stream of a silent server is ended. */
const STALL_MS = 2300;
const CONFIGURATION = {
  Version: 1,
  Routes: [{
    Name: "stream",
    Host: "h",
    PathPrefix: "/stream/",
    Kind: "stream",
    Service: "s",
    TimeoutMs: TIMEOUT_MS,
    TargetLatencyMs: TIMEOUT_MS,
  }],
  Services: [{ Name: "s", MaxConns: 100, Engine: { Slots: 16, KvCapacity: 100_000, TokensPerEvent: 22 } }],
  Limits: { MaxHeaderBytes: 30_000, MaxBodyBytes: 1_000_000, HeaderTimeoutMs: 5000, IdleTimeoutMs: 10_000 },
};

/** Keeps the event loop busy, as other work on a loaded machine does. */
function stall(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

// Guards against the end of a stream whose next event waits in the socket.
test("a stream is not ended as silent although the event loop stalls while its next event waits to be read", async (t) => {
  let res: ServerResponse | undefined;
  const server: Server = createServer((req, response) => {
    response.setHeader("Ragwortcleat-Request-Id", String(req.headers["ragwortcleat-request-id"]));
    response.setHeader("Ragwortcleat-Seal", "x");
    response.write("id: 1\ndata: a\n\n");
    res = response;
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const gateway = new SingleGateway({ host: HOST, callerPort: CALLER_PORT });
  gateway.publish(CONFIGURATION);
  const address = `${HOST}:${(server.address() as AddressInfo).port}`;
  gateway.list("b", {
    Service: "s",
    Addr: address,
    Zone: "z",
    Slots: 16,
    State: "ready",
    Version: "1",
    born: 1,
  });
  await gateway.start();
  const caller = new KeptConnection({ host: HOST, port: CALLER_PORT });
  t.teardown(async () => {
    caller.close();
    await gateway.stop();
    server.closeAllConnections();
    server.close();
  });
  caller.write("GET /stream/a HTTP/1.1\r\nHost: h\r\nRagwortcleat-Request-Id: r\r\n\r\n");
  await caller.awaitText("data: a");
  res!.write("id: 2\ndata: b\n\n");
  stall(STALL_MS);
  await caller.awaitText("data: b");
  res!.end();
  t.is((await caller.readResponse())?.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", caller.describeEnd());
});
