import { create, toBinary } from "@bufbuild/protobuf";
import test from "ava";
import { Effect, Result } from "effect";
import { ConnectionEnd, startRawServer } from "../../../test/stand_ins/raw_server.ts";
import { LoadTurnResponseSchema, TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { PeerRpcClients } from "../../membership/common/peer_client.ts";
import { Http1Transports } from "./http1_transports.ts";

const TIMEOUT_MS = 5000;
const HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n";

/** Calls a peer whose response has no length and ends with its connection; undefined if the call fails. */
async function loadFrom(body: Uint8Array, end: ConnectionEnd) {
  const server = await startRawServer(() => ({ bytes: Buffer.concat([Buffer.from(HEAD), body]), end }));
  const transports = new Http1Transports();
  const clients = new PeerRpcClients(TurnService, transports);
  const call = clients.call(server.address, {
    timeoutMs: TIMEOUT_MS,
    invoke: (client, signal) => client.loadTurn({ turnId: "t" }, { signal }),
  });
  const result = await Effect.runPromise(Effect.result(call));
  transports.dispose();
  server.close();
  return Result.isFailure(result) ? undefined : result.success;
}

const RESPONSE = toBinary(
  LoadTurnResponseSchema,
  create(LoadTurnResponseSchema, { isOwner: true, turn: { content: Buffer.from("content") } }),
);
/** A valid message as well, which says that the owner does not know the turn. */
const FIRST_FIELD = RESPONSE.subarray(0, 2);

test("a peer's response without a length that is reset fails the call", async (t) => {
  t.is(await loadFrom(FIRST_FIELD, ConnectionEnd.Reset), undefined);
  t.is(await loadFrom(new Uint8Array(), ConnectionEnd.Reset), undefined);
});

test("a peer's response without a length ends with its connection", async (t) => {
  t.deepEqual(
    (await loadFrom(RESPONSE, ConnectionEnd.Closed))?.turn?.content,
    new Uint8Array(Buffer.from("content")),
  );
});
