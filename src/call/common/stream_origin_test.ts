import test from "ava";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import { serversOfOrigin } from "./stream_origin.ts";

function entryOf(id: string, softwareVersion?: string, service = "s"): IBackendEntry {
  const rest = { host: "h", port: 1, zone: "z", slots: 4, isDraining: false, startedAtMs: 1 };
  return { id, service, softwareVersion, ...rest };
}

test("a stream goes on at servers of its own service and software version", (t) => {
  const backends = [
    entryOf("a", "v1"),
    entryOf("b", "v1.1"),
    entryOf("c", "v1"),
    entryOf("d", "v1", "other"),
  ];
  const ids = serversOfOrigin({ service: "s", softwareVersion: "v1" }, backends).map(({ id }) => id);
  t.deepEqual(ids, ["a", "c"]);
});

test("a stream of an unknown software version goes on nowhere", (t) => {
  const origin = { service: "s", softwareVersion: undefined };
  t.deepEqual(serversOfOrigin(origin, [entryOf("a"), entryOf("b", "v1")]), []);
});
