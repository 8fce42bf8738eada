import type { AddressInfo } from "node:net";
import { createServer } from "node:net";
import test from "ava";
import { Effect } from "effect";
import { PROBE_TIMEOUT_MS } from "../common/server_link_monitor.ts";
import { ConnectProbe } from "./connect_probe.ts";

test("a server whose port does not exist is not reachable", async (t) => {
  const probe = new ConnectProbe();
  for (const port of [65_536, 1e25, -1, NaN]) {
    const entry = { id: "b", service: "s", host: "127.0.0.1", port, zone: "z", slots: 1, startedAtMs: 0 };
    t.false(await Effect.runPromise(probe.connect({ ...entry, isDraining: false })), String(port));
  }
});

test("a server is reachable although the event loop stalls while the connection is established", async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const entry = { id: "b", service: "s", host: "127.0.0.1", port, zone: "z", slots: 1, startedAtMs: 0 };
  const reachable = Effect.runPromise(new ConnectProbe().connect({ ...entry, isDraining: false }));
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 2 * PROBE_TIMEOUT_MS);
  t.true(await reachable);
  server.close();
});
