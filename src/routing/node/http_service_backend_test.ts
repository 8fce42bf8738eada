import test from "ava";
import { Effect, Result } from "effect";
import { ConnectionEnd, startRawServer } from "../../../test/stand_ins/raw_server.ts";
import { HttpClient } from "../../base/node/http_client.ts";
import { BackendFailure } from "../common/model_engine.ts";
import { HttpServiceBackend } from "./http_service_backend.ts";

test("a service's response without a length that is reset is not its response", async (t) => {
  for (const isRepeatable of [true, false]) {
    const reply = { bytes: 'HTTP/1.1 200 OK\r\n\r\n{"order":1', end: ConnectionEnd.Reset };
    const server = await startRawServer(() => reply);
    const client = new HttpClient();
    const backend = new HttpServiceBackend(client, server.address);
    const req = { service: "s", operation: "o", body: new Uint8Array(), idempotencyKey: "k", isRepeatable };
    const result = await Effect.runPromise(Effect.result(backend.run(req)));
    client.dispose();
    server.close();
    t.true(Result.isFailure(result) && result.failure.failure === BackendFailure.Broken);
  }
});
