import test from "ava";
import { Effect } from "effect";
import { ConnectProbe } from "./connect_probe.ts";

test("a server whose port does not exist is not reachable", async (t) => {
  const probe = new ConnectProbe();
  for (const port of [65_536, 1e25, -1, NaN]) {
    const entry = { id: "b", service: "s", host: "127.0.0.1", port, zone: "z", slots: 1, startedAtMs: 0 };
    t.false(await Effect.runPromise(probe.connect({ ...entry, isDraining: false })), String(port));
  }
});
