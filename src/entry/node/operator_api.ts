/** HTTP API for operators: health, metrics, status and control of one instance. */
import type { ServerResponse } from "node:http";
import { Effect } from "effect";
import { CallError, toKebabCase } from "../../base/common/errors.ts";
import { EndCause, Reason } from "../../base/common/gen/ragwortcleat/v1/common_pb.ts";
import { MemberState } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { Membership } from "../../membership/common/membership.ts";
import type { ConfigurationStore } from "../../services/configuration/common/configuration_store.ts";
import type { DecisionLog, ITimedDecision } from "../../services/logging/common/decision_log.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import type { JournalState } from "../../program/common/journal_state.ts";
import type { Program } from "../../program/common/program_store.ts";
import type { BackendRegistry } from "../../routing/common/backend_registry.ts";
import type { OwnerRouter } from "../common/owner_router.ts";
import type { IHttpRoute, IHttpServerRequest, IHttpServerResponse } from "./http_server.ts";
import type { ApiKeyStore } from "./api_key_store.ts";

const MAX_LISTED_PROGRAMS = 1000;

export interface IOperatorApiOptions {
  readonly keys: ApiKeyStore;
  readonly state: JournalState;
  readonly membership: Membership;
  readonly configuration: ConfigurationStore;
  readonly registry: BackendRegistry;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
  readonly router: OwnerRouter;
  /** Whether the instance can serve requests. */
  readonly isReady: () => boolean;
  /** Starts the instance's graceful shutdown. */
  readonly drain: () => void;
}

export class OperatorApi {
  readonly #opts: IOperatorApiOptions;

  constructor(opts: IOperatorApiOptions) {
    this.#opts = opts;
  }

  get routes(): IHttpRoute[] {
    return [
      {
        method: "GET",
        pattern: "/healthz",
        handler: () => Effect.succeed({ status: 200, body: { ok: true } }),
      },
      { method: "GET", pattern: "/readyz", handler: () => Effect.sync(() => this.#readiness()) },
      { method: "GET", pattern: "/metrics", handler: () => Effect.sync(() => this.#renderMetrics()) },
      this.#route("GET", { pattern: "/operator/v1/status", respond: () => this.#status() }),
      this.#route("GET", { pattern: "/operator/v1/configuration", respond: () => this.#showConfiguration() }),
      this.#route("GET", { pattern: "/operator/v1/programs", respond: () => this.#listPrograms() }),
      this.#route("GET", {
        pattern: "/operator/v1/programs/:programId",
        respond: ({ params }) => this.#showProgram(params.programId),
      }),
      this.#route("GET", { pattern: "/operator/v1/backends", respond: () => this.#listBackends() }),
      {
        method: "DELETE",
        pattern: "/operator/v1/programs/:programId",
        handler: (request) =>
          Effect.andThen(this.#authenticate(request), this.#endProgram(request.params.programId)),
      },
      {
        method: "GET",
        pattern: "/operator/v1/decisions",
        handler: (request) => Effect.andThen(this.#authenticate(request), this.#streamDecisions(request)),
      },
      this.#route("POST", { pattern: "/operator/v1/drain", respond: () => this.#startDrain() }),
    ];
  }

  #route(
    method: string,
    opts: { pattern: string; respond: (request: IHttpServerRequest) => object | undefined },
  ): IHttpRoute {
    return {
      method,
      pattern: opts.pattern,
      handler: (request) =>
        Effect.flatMap(this.#authenticate(request), () => {
          const body = opts.respond(request);
          if (body !== undefined) return Effect.succeed({ status: 200, body });
          return Effect.fail(new CallError(Reason.NOT_FOUND, { detail: "there is no such thing" }));
        }),
    };
  }

  #authenticate({ headers }: IHttpServerRequest): Effect.Effect<string, CallError> {
    const operator = this.#opts.keys.principalOf(headers.authorization);
    if (operator !== undefined) return Effect.succeed(operator);
    return Effect.fail(new CallError(Reason.UNAUTHORIZED, { detail: "an operator's key is required" }));
  }

  #readiness(): IHttpServerResponse {
    const ready = this.#opts.isReady();
    return { status: ready ? 200 : 503, body: { ready } };
  }

  #renderMetrics(): IHttpServerResponse {
    const headers = { "content-type": "text/plain; version=0.0.4" };
    return { status: 200, headers, body: this.#opts.metrics.render() };
  }

  #status(): object {
    const { membership, state, configuration } = this.#opts;
    const view = state.views.current;
    return {
      instance: membership.self.instanceId,
      zone: membership.self.zone,
      state: toKebabCase(MemberState[membership.self.state]),
      ready: this.#opts.isReady(),
      view: {
        number: view?.number ?? 0,
        members: (view?.members ?? []).map((member) => ({
          instance: member.instanceId,
          zone: member.zone,
          state: toKebabCase(MemberState[member.state]),
          caller_address: member.callerAddress,
          slices: view?.slicesOf(member).length ?? 0,
        })),
      },
      configuration_version: configuration.version,
      preset: configuration.presetName,
      programs: state.programs.size,
      quarantined: state.strikes.quarantinedCount,
    };
  }

  #showConfiguration(): object | undefined {
    const { accepted } = this.#opts.configuration;
    if (accepted === undefined) return undefined;
    const { version, author, document, configuration } = accepted;
    return { version, author, preset: configuration.activePreset, document };
  }

  #listPrograms(): object {
    const programs = [...this.#opts.state.programs.all];
    const shown = programs.slice(-MAX_LISTED_PROGRAMS).map((program) => this.#describeProgram(program));
    return { total: programs.length, programs: shown };
  }

  #showProgram(programId: string): object | undefined {
    const program = this.#opts.state.programs.get(programId);
    return program === undefined ? undefined : this.#describeProgram(program);
  }

  #describeProgram(program: Program): object {
    const { customer, kind, parentId, deadlineMs } = program.spec;
    return {
      id: program.id,
      customer,
      kind,
      parent: parentId,
      deadline_ms: deadlineMs,
      next_step: program.nextStep,
      ended: program.hasEnded ? toKebabCase(EndCause[program.endCause]) : null,
      owner: this.#opts.state.views.current?.ownerOf(program.slice)?.instanceId ?? null,
      spent_tokens: program.ledger.spent.tokens,
    };
  }

  #listBackends(): object {
    const engines = this.#opts.registry.engines.map((engine) => ({
      id: engine.id,
      zone: engine.zone,
      condition: engine.condition,
      models: engine.loadReport?.models ?? [],
      slots: engine.slots,
      load: engine.load,
      in_flight: engine.inFlight,
    }));
    const services = this.#opts.registry.services.map(({ id, service, zone, condition, inFlight }) => ({
      id,
      service,
      zone,
      condition,
      in_flight: inFlight,
    }));
    return { engines, services };
  }

  #endProgram(programId: string): Effect.Effect<IHttpServerResponse, CallError> {
    const ended = this.#opts.router.end(programId, { customer: "", cause: EndCause.OPERATOR });
    return Effect.map(
      ended,
      ({ spec }) => ({ status: 200, body: { id: spec?.programId, ended: "operator" } }),
    );
  }

  /** Writes the recent decisions as JSON lines, followed by new ones as they occur if `follow=true`. */
  #streamDecisions({ query, res }: IHttpServerRequest): Effect.Effect<undefined> {
    const write = (decision: ITimedDecision) => res.write(`${JSON.stringify(decision)}\n`);
    return Effect.gen({ self: this }, function* () {
      res.writeHead(200, { "content-type": "application/x-ndjson" });
      this.#opts.decisions.recent.forEach(write);
      if (query.get("follow") === "true") yield* this.#follow(res, write);
      res.end();
      return undefined;
    });
  }

  #follow(res: ServerResponse, write: (decision: ITimedDecision) => void): Effect.Effect<void> {
    return Effect.callback<void>((resume) => {
      const subscription = this.#opts.decisions.onDidDecide(write);
      res.on("close", () => resume(Effect.void));
      return Effect.sync(() => subscription.dispose());
    });
  }

  #startDrain(): object {
    this.#opts.drain();
    return { draining: true };
  }
}
