/** Gauges of a scheduler instance; their values are read when the metrics are rendered. */
import type { CallService } from "../../call/common/call_service.ts";
import type { ConfigurationStore } from "../../services/configuration/common/configuration_store.ts";
import type { Journal } from "../../services/journal/common/journal.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import type { HeldCopies } from "../../program/common/held_copies.ts";
import type { JournalState } from "../../program/common/journal_state.ts";
import type { EngineAdmission } from "../../routing/common/engine_admission.ts";

export function registerGauges(
  metrics: Metrics,
  { state, journal, calls, admission, copies, configuration }: {
    state: JournalState;
    journal: Journal;
    calls: CallService;
    admission: EngineAdmission;
    copies: HeldCopies;
    configuration: ConfigurationStore;
  },
): void {
  metrics.registerGauge("programs", {
    help: "Programs known, ended ones included.",
    read: () => state.programs.size,
  });
  metrics.registerGauge("idempotency_keys", {
    help: "Keys remembered.",
    read: () => state.idempotencyKeys.size,
  });
  metrics.registerGauge("quarantined_requests", {
    help: "Requests refused for crashes.",
    read: () => state.strikes.quarantinedCount,
  });
  metrics.registerGauge("calls_running", {
    help: "Calls under way on programs owned here.",
    read: () => calls.runningCount,
  });
  metrics.registerGauge("calls_queued", {
    help: "Calls that wait for an engine.",
    read: () => admission.queueLength,
  });
  metrics.registerGauge("journal_backlog", {
    help: "Records that wait for the journal.",
    read: () => journal.backlog,
  });
  metrics.registerGauge("journal_appends", {
    help: "Appends sent since the start.",
    read: () => journal.appendCount,
  });
  metrics.registerGauge("copies_held", {
    help: "Copies kept for others during an outage.",
    read: () => copies.count,
  });
  metrics.registerGauge("configuration_version", {
    help: "Offset of the configuration in force.",
    read: () => configuration.version,
  });
  metrics.registerGauge("view_number", {
    help: "Number of the view in force.",
    read: () => state.views.current?.number ?? 0,
  });
}
