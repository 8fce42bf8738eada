import { createServer } from "node:http2";
import type { AddressInfo, Socket } from "node:net";
import test from "ava";
import { Effect, Result } from "effect";
import { PeerService } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { PeerRpcClients } from "../../membership/common/peer_client.ts";
import { Http2Transports } from "./http2_transports.ts";

const TIMEOUT_MS = 5000;

const ENDS: readonly (readonly [string, (socket: Socket) => void])[] = [
  ["closed", (socket) => socket.destroy()],
  ["reset", (socket) => socket.resetAndDestroy()],
];

for (const [name, end] of ENDS) {
  test(`a peer's response whose connection is ${name} before its end fails the call`, async (t) => {
    let connection: Socket | undefined;
    const server = createServer();
    server.on("connection", (socket) => connection = socket);
    server.on("sessionError", () => {});
    server.on("stream", (stream) => {
      stream.on("error", () => {});
      stream.respond({ ":status": 200, "content-type": "application/proto" });
      // The beginning of the message, view number 1, is a valid message as well.
      stream.write(Buffer.from([8, 1]), () => end(connection!));
    });
    await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    const transports = new Http2Transports();
    t.teardown(() => {
      transports.dispose();
      server.close();
    });
    const { port } = server.address() as AddressInfo;
    const call = new PeerRpcClients(PeerService, transports).call(`127.0.0.1:${port}`, {
      timeoutMs: TIMEOUT_MS,
      invoke: (client, signal) => client.heartbeat({}, { signal }),
    });
    const result = await Effect.runPromise(Effect.result(call));
    t.true(Result.isFailure(result));
  });
}
