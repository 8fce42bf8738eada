/** A scheduler instance as a process: its listeners, start-up and graceful shutdown. */
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import { disposeWithScope } from "../../base/common/scoped_disposable.ts";
import { HttpClient } from "../../base/node/http_client.ts";
import { CallerApi } from "../../entry/node/caller_api.ts";
import { HttpServer } from "../../entry/node/http_server.ts";
import { OperatorApi } from "../../entry/node/operator_api.ts";
import { Http2Transports, PeerServer } from "../../peer/node/http2_transports.ts";
import { HttpInstanceList } from "../../services/instances/node/http_instance_list.ts";
import { HttpLogService } from "../../services/log/node/http_log_service.ts";
import { clientLimitsOf } from "../../services/connections/common/client_limits.ts";
import { makeClientResources } from "../../services/connections/node/client_resources.ts";
import { JsonLogger } from "../../services/logging/common/logger.ts";
import { HttpModelEngine } from "../../routing/node/http_model_engine.ts";
import { HttpServiceBackend } from "../../routing/node/http_service_backend.ts";
import type { IDaemonCore } from "../common/daemon_core.ts";
import { makeDaemonCore } from "../common/daemon_core.ts";
import { drainDaemon } from "../common/drain.ts";
import type { ILoadedSettings } from "./settings_file.ts";

/** Memory that is not for clients, in MB. */
const PROCESS_MB = 180;
/** Time for the load balancer to see the failed readiness check and for clients to close their connections. */
const READINESS_DELAY_MS = 300;

export interface IDaemon {
  readonly core: IDaemonCore;
  /** Completes the requests in progress, hands the slices over, and returns. */
  readonly drain: Effect.Effect<void>;
}

/** Starts a daemon; it stops when the scope closes. */
export function startDaemon(
  loaded: ILoadedSettings,
  onDrainRequested: () => void,
): Effect.Effect<IDaemon, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const { settings } = loaded;
    const logger = new JsonLogger(settings.instanceId, settings.logLevel);
    const context = yield* Effect.context<never>();
    const client = yield* disposeWithScope(new HttpClient());
    const transports = yield* disposeWithScope(new Http2Transports());
    const core = yield* makeDaemonCore(settings, {
      addresses: {
        peerAddress: formatAddress(settings.peers),
        callerAddress: formatAddress(settings.callers),
      },
      dependencies: {
        log: new HttpLogService(client, settings.platform.logUrl),
        instances: new HttpInstanceList(client, settings.platform.instanceListUrl),
        transports,
        makeEngine: (address) => new HttpModelEngine(client, address),
        makeService: (address) => new HttpServiceBackend(client, address),
        logger,
      },
    });
    let isDraining = false;
    const isReady = () => !isDraining && isServing(core);
    const callers = new CallerApi({
      region: settings.region,
      router: core.router,
      keys: loaded.customers,
      metrics: core.metrics,
    });
    const operators = new OperatorApi({ ...core, keys: loaded.operators, isReady, drain: onDrainRequested });
    const { memoryMb, maxDescriptors } = settings;
    const limits = clientLimitsOf({ memoryMb, maxDescriptors, processMb: PROCESS_MB });
    const { memoryBytes } = limits;
    const resources = makeClientResources({ memoryBytes, logger, metrics: core.metrics });
    const http = yield* disposeWithScope(
      new HttpServer({
        routes: [...operators.routes, ...callers.routes],
        logger,
        context,
        resources,
        maxConnections: limits.callerConnections,
      }),
    );
    const peers = yield* disposeWithScope(
      new PeerServer(core.peerService, { resources, maxConnections: limits.peerConnections }),
    );
    yield* Effect.promise(() => peers.listen(settings.peers));
    yield* core.start;
    yield* Effect.promise(() => http.listen(settings.callers));
    logger.info("started", {
      callers: formatAddress(settings.callers),
      peers: formatAddress(settings.peers),
    });
    const drain = Effect.gen(function* () {
      const startedAt = yield* Clock.currentTimeMillis;
      isDraining = true;
      logger.info("draining");
      http.disableKeepAlive();
      yield* Effect.sleep(READINESS_DELAY_MS);
      http.stopAccepting();
      yield* drainDaemon(core, () => http.activeCount === 0);
      logger.info("stopped", { tookMs: (yield* Clock.currentTimeMillis) - startedAt });
    });
    return { core, drain };
  });
}

/** Whether the instance is a member of the view, has taken over its slices and has a configuration. */
function isServing(core: IDaemonCore): boolean {
  const isMember = core.state.views.current?.find(core.self) !== undefined;
  return isMember && core.handover.isComplete && core.configuration.version >= 0;
}

function formatAddress({ host, port }: { host: string; port: number }): string {
  return `${host}:${port}`;
}
