import test from "ava";
import { ConnectionEnd, startRawServer } from "../../../test/stand_ins/raw_server.ts";
import { ExitCode } from "../common/exit_code.ts";
import { status } from "./status.ts";

test("status fails if the metrics are reset, and prints them if they end with their connection", async (t) => {
  for (const end of Object.values(ConnectionEnd)) {
    const server = await startRawServer(() => ({
      bytes: "HTTP/1.1 200 OK\r\n\r\nragwortcleat_active_requests 1\n",
      end,
    }));
    const code = await status({ url: `http://${server.address}/`, isJson: true });
    server.close();
    t.is(code, end === ConnectionEnd.Closed ? ExitCode.Ok : ExitCode.Failed, end);
  }
});
