import test from "ava";
import { Effect, Result } from "effect";
import { ConnectionEnd, startRawServer } from "../../../test/stand_ins/raw_server.ts";
import { HttpClient } from "../../base/node/http_client.ts";
import { InstanceClient } from "./instance_client.ts";

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";

async function withClient<T>(
  { body, end }: { body: string; end: ConnectionEnd },
  use: (client: InstanceClient) => Promise<T>,
): Promise<T> {
  const server = await startRawServer(() => ({ bytes: `${HEAD}${body}`, end }));
  const http = new HttpClient();
  const result = await use(new InstanceClient(http, { url: `http://${server.address}`, key: "k" }));
  http.dispose();
  server.close();
  return result;
}

for (const end of [ConnectionEnd.Closed, ConnectionEnd.Reset]) {
  const isReset = end === ConnectionEnd.Reset;
  test(`a streamed response without a length whose connection is ${end} ${isReset ? "fails" : "ends"}`, async (t) => {
    const lines: string[] = [];
    const result = await withClient(
      { body: "one\ntwo\n", end },
      (client) => Effect.runPromise(Effect.result(client.lines("/x", (line) => lines.push(line)))),
    );
    t.is(Result.isFailure(result), isReset);
    if (!isReset) t.deepEqual(lines, ["one", "two"]);
  });
  test(`a text without a length whose connection is ${end} ${isReset ? "fails" : "is read"}`, async (t) => {
    const result = await withClient(
      { body: "one", end },
      (client) => Effect.runPromise(Effect.result(client.text("/x"))),
    );
    t.is(Result.isFailure(result), isReset);
  });
}
