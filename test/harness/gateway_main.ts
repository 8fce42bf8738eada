/**
 * Runs one gateway as a process of its own, with an in-memory store. Receives its settings, the configuration and the
 * backend servers' entries in one message, confirms that it listens, and reports its peak memory on the next message. SIGTERM
 * stops it gracefully.
 */
import process from "node:process";
import { Effect, Exit, Scope } from "effect";
import { RequestCodec } from "../../platform/request_codec.ts";
import { startGateway } from "../../src/daemon/node/gateway.ts";
import { NullLogger } from "../../src/services/logging/common/logger.ts";
import { parseGatewaySettings } from "../../src/services/settings/common/gateway_validation.ts";
import { PartitionedLogCore } from "../stand_ins/partitioned_log_core.ts";
import { adapterFor, BACKEND_TOPIC, CONFIGURATION_KEY, CONFIGURATION_TOPIC } from "./gateway_cluster.ts";

export interface IGatewayStart {
  readonly settings: object;
  readonly configuration: object;
  /** Entries of the platform's server list, by id. */
  readonly backends: Readonly<Record<string, object>>;
}

async function start({ settings, configuration, backends }: IGatewayStart): Promise<void> {
  const log = new PartitionedLogCore();
  log.putKey(CONFIGURATION_TOPIC, CONFIGURATION_KEY, Buffer.from(JSON.stringify(configuration)));
  for (const [id, entry] of Object.entries(backends)) {
    log.putKey(BACKEND_TOPIC, id, Buffer.from(JSON.stringify(entry)));
  }
  const platform = {
    adapter: adapterFor(log),
    codec: new RequestCodec(),
    logger: new NullLogger(),
    droppedLogLines: () => 0,
  };
  const scope = await Effect.runPromise(Scope.make());
  const starting = startGateway(parseGatewaySettings(JSON.stringify(settings), "test"), platform);
  const gateway = await Effect.runPromise(Scope.provide(starting, scope));
  process.once("SIGTERM", () => {
    const stopping = Effect.andThen(gateway.drain, Scope.close(scope, Exit.void));
    void Effect.runPromise(stopping).then(() => process.exit());
  });
}

process.once("message", (message) => {
  void start(message as IGatewayStart).then(() => process.send!("listening"));
  process.on("message", () => process.send!({ peakKb: process.resourceUsage().maxRSS }));
});
process.on("disconnect", () => process.exit());
