/** Tries TCP connections to backend servers. */
import type { Socket } from "node:net";
import { connect } from "node:net";
import { Effect } from "effect";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IConnectProbe } from "../common/server_link_monitor.ts";
import { PROBE_TIMEOUT_MS } from "../common/server_link_monitor.ts";
import { StallTolerantTimer } from "./stall_tolerant_timer.ts";

export class ConnectProbe implements IConnectProbe {
  connect({ host, port }: IBackendEntry): Effect.Effect<boolean> {
    return Effect.callback<boolean>((resume) => {
      let socket: Socket;
      try {
        socket = connect({ host, port });
      } catch {
        // Node.js throws for a port that does not exist.
        return resume(Effect.succeed(false));
      }
      const finish = (isConnected: boolean) => {
        timer.clear();
        socket.destroy();
        resume(Effect.succeed(isConnected));
      };
      const timer = new StallTolerantTimer(() => finish(false), PROBE_TIMEOUT_MS);
      socket.on("connect", () => finish(true));
      socket.on("error", () => finish(false));
      return Effect.sync(() => finish(false));
    });
  }
}
