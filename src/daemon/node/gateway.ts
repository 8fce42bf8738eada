/** One instance of the gateway as a process: its listeners, its start and its graceful stop. */
import { randomBytes } from "node:crypto";
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import { own } from "../../base/common/owned.ts";
import type { ICallCodec } from "../../call/common/opaque_call.ts";
import { HttpUpstream } from "../../call/node/http_upstream.ts";
import { GatewayFront, ProbeServer } from "../../entry/node/gateway_front.ts";
import { makeTurnService } from "../../peer/common/turn_service.ts";
import { Http1Transports, TurnServer } from "../../peer/node/http1_transports.ts";
import { LoadDatagrams } from "../../peer/node/load_datagrams.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { GatewaySettings } from "../../services/settings/common/gen/gateway_settings.ts";
import type { IPlatformAdapter } from "../../services/store/common/platform_adapter.ts";
import { GatewayCore } from "../common/gateway_core.ts";
import { registerGatewayGauges } from "../common/gateway_gauges.ts";

const MS_PER_SECOND = 1000;
/** Time in which the balancer notices that an instance stops, in ms: two probes a second apart, and their lag. */
const UNREADY_MS = 2500;
/** Part of the grace period that is left for handing over and ending, in ms. */
const EXIT_MARGIN_MS = 600;
/** Interval at which the end of the last requests is looked for, in ms. */
const DRAIN_POLL_MS = 25;

export interface IGatewayPlatform {
  readonly adapter: IPlatformAdapter;
  readonly codec: ICallCodec;
  readonly logger: ILogger;
  /** Log lines lost to a slow reader since the start. */
  readonly droppedLogLines: () => number;
}

/** A running gateway. */
export interface IGateway {
  /** Finishes the requests under way, hands the slices over, and returns. */
  readonly drain: Effect.Effect<void>;
}

/** Starts a gateway; it ends with the scope. */
export function startGateway(
  settings: GatewaySettings,
  { adapter, codec, logger, droppedLogLines }: IGatewayPlatform,
): Effect.Effect<IGateway, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const upstream = yield* own(new HttpUpstream(codec));
    const transports = yield* own(new Http1Transports());
    const core = new GatewayCore(settings, {
      adapter,
      codec,
      logger,
      transports,
      upstream,
      forgetBackend: (entry) => upstream.forget(entry),
      limitCallers: (limits) => front.limit(limits),
      now: Date.now,
      random: Math.random,
      newWriter: () => randomBytes(8).readBigUInt64BE(),
    });
    const context = yield* Effect.context<never>();
    const front: GatewayFront = yield* own(new GatewayFront({ relay: core.relay, logger, context }));
    registerGatewayGauges({
      core,
      activeRequests: () => front.activeCount,
      droppedLines: droppedLogLines,
      now: Date.now,
    });
    let isStopping = false;
    yield* listenInside(core, { settings, logger, isReady: () => !isStopping && core.isServing });
    yield* core.start();
    yield* Effect.promise(() => front.listen(parseAddress(settings.callerAddress)));
    logger.info("started", { callers: settings.callerAddress, peers: settings.peerAddress });
    const announce = Effect.sync(() => {
      isStopping = true;
    });
    return { drain: Effect.andThen(announce, drain(core, { front, settings, logger })) };
  });
}

interface IListenInside {
  readonly settings: GatewaySettings;
  readonly logger: ILogger;
  readonly isReady: () => boolean;
}

/** Opens the addresses for peers, for the balancer's probe and for the metrics. */
function listenInside(
  core: GatewayCore,
  { settings, logger, isReady }: IListenInside,
): Effect.Effect<void, never, Scope.Scope> {
  return Effect.gen(function* () {
    const context = yield* Effect.context<never>();
    const peer = parseAddress(settings.peerAddress);
    const turnServer = yield* own(new TurnServer(makeTurnService({ ...partsOf(core), context })));
    const probe = yield* own(new ProbeServer(() => ({ status: isReady() ? 200 : 503, body: "" })));
    const metrics = yield* own(new ProbeServer(() => ({ status: 200, body: core.metrics.render() })));
    const reports = yield* own(
      new LoadDatagrams({
        instance: settings.instance,
        host: peer.host,
        port: settings.datagramPort,
        loads: core.loads,
        caches: core.caches,
        strikes: core.strikes,
        peerHosts: () => core.group.peers.map((address) => parseAddress(address).host),
        logger,
      }),
    );
    yield* Effect.promise(() => turnServer.listen(peer));
    yield* Effect.promise(() => probe.listen(parseAddress(settings.probeAddress)));
    yield* Effect.promise(() => metrics.listen({ host: peer.host, port: settings.metricsPort }));
    yield* Effect.promise(() => reports.listen());
    yield* reports.start();
  });
}

function partsOf({ owned, group, configuration, backends }: GatewayCore) {
  return { owned, group, configuration, backends };
}

interface IDrain {
  readonly front: GatewayFront;
  readonly settings: GatewaySettings;
  readonly logger: ILogger;
}

function drain(core: GatewayCore, { front, settings, logger }: IDrain): Effect.Effect<void> {
  return Effect.gen(function* () {
    const startedAt = yield* Clock.currentTimeMillis;
    logger.info("stopping", { active: front.activeCount });
    front.announceStop();
    yield* core.leave();
    yield* Effect.sleep(UNREADY_MS);
    front.stopAccepting();
    const until = startedAt + settings.stopGraceS * MS_PER_SECOND - EXIT_MARGIN_MS;
    while (front.activeCount > 0 && (yield* Clock.currentTimeMillis) < until) {
      yield* Effect.sleep(DRAIN_POLL_MS);
    }
    logger.info("stopped", {
      tookMs: (yield* Clock.currentTimeMillis) - startedAt,
      active: front.activeCount,
    });
  });
}

function parseAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(":");
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}
