/** Reconciles the models loaded on engines with the configuration, by orders with fencing tokens. */
import { create } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import {
  OrderAction,
  OrderFinishedSchema,
  OrderIssuedSchema,
  RecordSchema,
} from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import type { Membership } from "../../membership/common/membership.ts";
import { isSameIncarnation } from "../../membership/common/view.ts";
import type { IConfigurationSource } from "../../services/configuration/common/configuration_source.ts";
import type { IJournal } from "../../services/journal/common/journal.ts";
import type { IDecisionLog } from "../../services/logging/common/decision_log.ts";
import { DecisionKind } from "../../services/logging/common/decision_log.ts";
import type { JournalState } from "../../program/common/journal_state.ts";
import { ORDER_EXPIRY_MS } from "../../program/common/order_table.ts";
import type { BackendRegistry } from "../../routing/common/backend_registry.ts";
import type { EngineState } from "../../routing/common/engine_state.ts";
import { EngineOrderAction } from "../../routing/common/model_engine.ts";
import type { IPlannedOrder } from "./placement_plan.ts";
import { planOrders } from "./placement_plan.ts";

/** Interval between comparisons of the plan with the engines. */
const RECONCILE_INTERVAL_MS = 1000;
/** Interval between reports requested from an engine that is executing an order. */
const REPORT_POLL_INTERVAL_MS = 500;

/** Dependencies of a {@link PlacementController}. */
export interface IPlacementControllerOptions {
  readonly self: Member;
  readonly state: JournalState;
  readonly journal: IJournal;
  readonly membership: Membership;
  readonly registry: BackendRegistry;
  readonly configuration: IConfigurationSource;
  readonly decisions: IDecisionLog;
  /** Duration of a member's lease; an earlier member may send orders until it expires. */
  readonly leaseMs: number;
}

/** Sends load and unload orders to engines; each engine receives its orders from one member of the view. */
export class PlacementController {
  readonly #opts: IPlacementControllerOptions;
  /** Ids of the engines with an order in progress. */
  readonly #enginesInProgress = new Set<string>();
  #viewChangedAtMs = 0;

  constructor(opts: IPlacementControllerOptions) {
    this.#opts = opts;
  }

  /** Reconciles periodically until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      const clock = yield* Clock.Clock;
      this.#opts.state.views.onDidChangeView(() => this.#viewChangedAtMs = clock.currentTimeMillisUnsafe());
      const reconcileLoop = Effect.gen({ self: this }, function* () {
        while (true) {
          yield* Effect.sleep(RECONCILE_INTERVAL_MS);
          for (const planned of this.#dueOrders(yield* Clock.currentTimeMillis)) {
            yield* Effect.forkIn(this.#execute(planned), scope);
          }
        }
      });
      yield* Effect.forkScoped(reconcileLoop);
    });
  }

  /** Planned orders that this instance may execute now. */
  #dueOrders(now: number): IPlannedOrder[] {
    const { configuration, registry } = this.#opts;
    if (configuration.current === undefined) return [];
    const planned = planOrders(configuration.current, registry.engines);
    return planned.filter(({ engine }) =>
      this.#isResponsibleFor(engine) && !this.#enginesInProgress.has(engine.id) &&
      this.#isSafeToOrder(engine, now)
    );
  }

  /**
   * An engine that ignores fencing tokens receives no order until the lease of the member that was
   * responsible before the last view change has expired.
   */
  #isSafeToOrder({ id }: EngineState, now: number): boolean {
    const ignoresFencing = this.#opts.configuration.current?.placement.fencingIgnoredBy.includes(id) === true;
    return !ignoresFencing || now - this.#viewChangedAtMs > this.#opts.leaseMs;
  }

  /** Whether this instance is the member of the current view that sends the engine its orders. */
  #isResponsibleFor({ id }: EngineState): boolean {
    return isSameIncarnation(this.#opts.state.views.current?.coordinatorFor(id), this.#opts.self);
  }

  /** Records the order, sends it, and records that it has finished. */
  #execute(planned: IPlannedOrder): Effect.Effect<void> {
    const { engine } = planned;
    this.#enginesInProgress.add(engine.id);
    const execution = Effect.gen({ self: this }, function* () {
      const fencingToken = yield* this.#issue(planned);
      if (fencingToken === undefined) return;
      this.#logDecision(planned, fencingToken);
      // Some engines ignore fencing tokens, so the right to send orders is checked again just before sending.
      const maySend = (yield* this.#opts.membership.mayDispatch()) && this.#isResponsibleFor(engine);
      if (maySend) yield* this.#send(planned, fencingToken);
      const value = create(OrderFinishedSchema, { backendId: engine.id, fencingToken });
      this.#opts.journal.append(create(RecordSchema, { body: { case: "orderFinished", value } }));
    });
    return Effect.ensuring(execution, Effect.sync(() => this.#enginesInProgress.delete(engine.id)));
  }

  /** Records the order in the journal; returns its fencing token, or undefined if it was not accepted. */
  #issue({ engine, action, model }: IPlannedOrder): Effect.Effect<number | undefined> {
    return Effect.gen({ self: this }, function* () {
      const value = create(OrderIssuedSchema, {
        backendId: engine.id,
        action: action === EngineOrderAction.LoadModel ? OrderAction.LOAD_MODEL : OrderAction.UNLOAD_MODEL,
        model,
        issuedAtMs: yield* Clock.currentTimeMillis,
        loadsAtOnce: this.#opts.configuration.current?.placement.loadsAtOnce ?? 1,
      });
      const record = create(RecordSchema, { body: { case: "order", value } });
      const { accepted, offset } = yield* this.#opts.journal.append(record).receipt;
      return accepted ? offset : undefined;
    });
  }

  /** Sends the order, then polls the engine's report for the result for at most half the order's lifetime. */
  #send({ engine, action, model }: IPlannedOrder, fencingToken: number): Effect.Effect<void> {
    const isDone = () =>
      engine.loadReport?.models.includes(model) === (action === EngineOrderAction.LoadModel);
    const pollReport = Effect.gen({ self: this }, function* () {
      const now = () => Clock.currentTimeMillis;
      const deadlineMs = (yield* now()) + ORDER_EXPIRY_MS / 2;
      while (!isDone() && (yield* now()) < deadlineMs) {
        yield* Effect.sleep(REPORT_POLL_INTERVAL_MS);
        const report = yield* engine.client.getLoadReport();
        engine.applyLoadReport(report, yield* now());
      }
    });
    return Effect.ignore(Effect.andThen(engine.client.order({ action, model, fencingToken }), pollReport));
  }

  #logDecision({ engine, action, model }: IPlannedOrder, fencingToken: number): void {
    this.#opts.decisions.write({
      kind: DecisionKind.Placement,
      programId: "",
      step: 0,
      choice: engine.id,
      reason: `${action} ${model}, fencing token ${fencingToken}`,
      preset: this.#opts.configuration.presetName,
      candidates: [],
    });
  }
}
