/** A gateway instance as a process: its listeners, start-up and graceful shutdown. */
import { randomBytes } from "node:crypto";
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import { disposeWithScope } from "../../base/common/scoped_disposable.ts";
import type { IRequestCodec } from "../../call/common/opaque_request.ts";
import { ConnectProbe } from "../../call/node/connect_probe.ts";
import { HttpForwardTransport } from "../../call/node/http_forward_transport.ts";
import { HttpUpstream } from "../../call/node/http_upstream.ts";
import { GatewayServer, PlainTextServer } from "../../entry/node/gateway_server.ts";
import { makeTurnService } from "../../peer/common/turn_service.ts";
import { Http1Transports, TurnServer } from "../../peer/node/http1_transports.ts";
import { ForwardServer } from "../../peer/node/forward_server.ts";
import { LoadReporter } from "../../peer/node/load_reporter.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { GatewaySettings } from "../../services/settings/common/gen/gateway_settings.ts";
import type { IPlatformAdapter } from "../../services/store/common/platform_adapter.ts";
import { GatewayCore } from "../common/gateway_core.ts";
import type { IClientLimits } from "../../services/connections/common/client_limits.ts";
import { clientLimitsOf } from "../../services/connections/common/client_limits.ts";
import type { IClientResources } from "../../services/connections/node/client_resources.ts";
import { makeClientResources } from "../../services/connections/node/client_resources.ts";
import { ListenerKind } from "../../services/connections/node/release_log.ts";
import { registerGatewayGauges } from "../common/gateway_gauges.ts";

const MS_PER_SECOND = 1000;
/** Time for the load balancer to notice that an instance stops: two probes one second apart, plus their delay. */
const READINESS_DELAY_MS = 2500;
/** Part of the grace period reserved for exiting after the handover of slices and the last requests. */
const EXIT_MARGIN_MS = 600;
/** Time before the exit at which requests without a response are refused, in ms: the refusals must reach their callers. */
const REFUSAL_MARGIN_MS = 50;
/** Memory that is not for clients, in MB. */
const PROCESS_MB = 110;
/** Interval at which a draining gateway checks for remaining requests. */
const DRAIN_POLL_MS = 25;

export interface IGatewayPlatform {
  readonly adapter: IPlatformAdapter;
  readonly codec: IRequestCodec;
  readonly logger: ILogger;
  /** Number of log lines dropped since the start because their reader was too slow. */
  readonly droppedLogLines: () => number;
}

export interface IGateway {
  /** Hands the slices over, waits for the requests in progress within the grace period, and returns. */
  readonly drain: Effect.Effect<void>;
}

/** Starts a gateway; it stops when the scope closes. */
export function startGateway(
  settings: GatewaySettings,
  { adapter, codec, logger, droppedLogLines }: IGatewayPlatform,
): Effect.Effect<IGateway, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const upstream = yield* disposeWithScope(new HttpUpstream(codec));
    const forwardTransport = yield* disposeWithScope(new HttpForwardTransport(codec));
    const transports = yield* disposeWithScope(new Http1Transports());
    const core = new GatewayCore(settings, {
      adapter,
      codec,
      logger,
      transports,
      upstream,
      forwardTransport,
      connectProbe: new ConnectProbe(),
      closeBackendConnections: (entry) => upstream.removeBackend(entry),
      closeIdleBackendConnections: () => upstream.closeIdleConnections(),
      applyCallerLimits: (limits) => server.applyLimits(limits),
      now: Date.now,
      random: Math.random,
      newWriter: () => randomBytes(8).readBigUInt64BE(),
    });
    const context = yield* Effect.context<never>();
    const { memoryMb, maxDescriptors } = settings;
    const limits = clientLimitsOf({ memoryMb, maxDescriptors, processMb: PROCESS_MB });
    const { memoryBytes, callerConnections } = limits;
    const resources = makeClientResources({ memoryBytes, logger, metrics: core.metrics });
    const server: GatewayServer = yield* disposeWithScope(
      new GatewayServer({
        relay: core.relay,
        logger,
        context,
        metrics: core.metrics,
        resources,
        maxConnections: callerConnections,
        configurationVersion: () => core.routes.version,
      }),
    );
    registerGatewayGauges({
      core,
      activeRequests: () => server.activeCount,
      droppedLines: droppedLogLines,
      now: Date.now,
    });
    let isStopping = false;
    const isReady = () => !isStopping && core.isServing;
    yield* startInternalListeners(core, { settings, logger, resources, limits, isReady });
    yield* core.start();
    yield* Effect.promise(() => server.listen(parseAddress(settings.callerAddress)));
    logger.info("started", { callers: settings.callerAddress, peers: settings.peerAddress });
    const markStopping = Effect.sync(() => {
      isStopping = true;
    });
    return { drain: Effect.andThen(markStopping, drain(core, { server, settings, logger })) };
  });
}

interface IInternalListenerOptions {
  readonly settings: GatewaySettings;
  readonly logger: ILogger;
  readonly resources: IClientResources;
  readonly limits: IClientLimits;
  readonly isReady: () => boolean;
}

/** Starts the listeners for peers, load balancer probes, metrics and load reports. */
function startInternalListeners(
  core: GatewayCore,
  { settings, logger, resources, limits, isReady }: IInternalListenerOptions,
): Effect.Effect<void, never, Scope.Scope> {
  return Effect.gen(function* () {
    const context = yield* Effect.context<never>();
    const peer = parseAddress(settings.peerAddress);
    const forwards = new ForwardServer({
      service: core.forwardService,
      directory: core.directory,
      responseLimits: settings,
      responseMemory: core.responseMemory,
      logger,
      context,
    });
    const turnServer = yield* disposeWithScope(
      new TurnServer(
        makeTurnService({ ...turnServiceParts(core), address: settings.peerAddress, now: Date.now, context }),
        { resources, maxConnections: limits.peerConnections, forwards },
      ),
    );
    const probe = yield* disposeWithScope(
      new PlainTextServer({
        respond: () => ({ status: isReady() ? 200 : 503, body: "" }),
        resources,
        listener: ListenerKind.Probe,
        maxConnections: limits.probeConnections,
      }),
    );
    const metrics = yield* disposeWithScope(
      new PlainTextServer({
        respond: () => ({ status: 200, body: core.metrics.render() }),
        resources,
        listener: ListenerKind.Metrics,
        maxConnections: limits.metricsConnections,
      }),
    );
    const loadReporter = yield* disposeWithScope(
      new LoadReporter({
        host: peer.host,
        port: settings.datagramPort,
        exchange: core.reports,
        logger,
      }),
    );
    yield* Effect.promise(() => turnServer.listen(peer));
    yield* Effect.promise(() => probe.listen(parseAddress(settings.probeAddress)));
    yield* Effect.promise(() => metrics.listen({ host: peer.host, port: settings.metricsPort }));
    yield* Effect.promise(() => loadReporter.listen());
    yield* loadReporter.start();
  });
}

function turnServiceParts(core: GatewayCore) {
  const { owned, group, configuration, backends, strikes, crashes, streams, leaving } = core;
  const { limits, limiter, allotments, hedgeLimit, forwarders } = core;
  return {
    owned,
    group,
    configuration,
    backends,
    strikes: strikes.follower,
    crashes,
    streams,
    leaving,
    limits,
    limiter,
    allotments,
    hedgeLimit,
    forwarders,
  };
}

interface IDrainOptions {
  readonly server: GatewayServer;
  readonly settings: GatewaySettings;
  readonly logger: ILogger;
}

function drain(core: GatewayCore, { server, settings, logger }: IDrainOptions): Effect.Effect<void> {
  return Effect.gen(function* () {
    const startedAt = yield* Clock.currentTimeMillis;
    const activeCount = () => server.activeCount + core.forwardService.activeCount;
    const exitAtMs = startedAt + settings.stopGraceS * MS_PER_SECOND - EXIT_MARGIN_MS;
    logger.info("stopping", { active: activeCount(), exitAtMs });
    server.disableKeepAlive();
    core.drain.begin(exitAtMs - REFUSAL_MARGIN_MS);
    yield* core.leave();
    yield* Effect.sleep(READINESS_DELAY_MS);
    server.stopAccepting();
    core.forwardService.stopAccepting();
    // Closing a connection with an unread request would reset it.
    yield* Effect.promise(() => server.readArrived());
    for (let now = startedAt; activeCount() > 0 && now < exitAtMs; now = yield* Clock.currentTimeMillis) {
      if (now >= exitAtMs - REFUSAL_MARGIN_MS) {
        core.drain.endIfDue(now);
        server.refuseUnread();
      }
      yield* Effect.sleep(DRAIN_POLL_MS);
      yield* Effect.promise(() => server.readArrived());
    }
    logger.info("stopped", {
      tookMs: (yield* Clock.currentTimeMillis) - startedAt,
      active: activeCount(),
    });
  });
}

function parseAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
