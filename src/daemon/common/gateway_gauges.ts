/** Gauges of a gateway; their values are read when the metrics are rendered. */
import { ReportRole } from "../../peer/common/report_exchange.ts";
import type { GatewayCore } from "./gateway_core.ts";

const REPORT_ROLES = [ReportRole.Direct, ReportRole.Member, ReportRole.Aggregator];

export interface IGaugeSources {
  readonly core: GatewayCore;
  /** Number of requests in progress. */
  readonly activeRequests: () => number;
  /** Number of log lines dropped since the start because their reader was too slow. */
  readonly droppedLines: () => number;
  /** Unix time in ms. */
  readonly now: () => number;
}

export function registerGatewayGauges({ core, activeRequests, droppedLines, now }: IGaugeSources): void {
  const { metrics, routes, directory, owned, group, configuration, backends, crashes } = core;
  metrics.registerGauge("requests_active", { help: "Requests under way.", read: activeRequests });
  metrics.registerGauge("log_lines_dropped", {
    help: "Log lines lost to a slow reader.",
    read: droppedLines,
  });
  metrics.registerGauge("configuration_version", {
    help: "Version of the configuration in force; -1 before the first.",
    read: () => routes.configuration?.version ?? -1,
  });
  metrics.registerGauge("configuration_age_ms", {
    help: "Time since the configuration was last read or confirmed, in ms.",
    read: () => now() - configuration.lastReadMs,
  });
  metrics.registerGauge("backends_age_ms", {
    help: "Time since the list of backend servers was last read, in ms.",
    read: () => now() - backends.lastReadMs,
  });
  metrics.registerGauge("backends_known", { help: "Backend servers listed.", read: () => directory.size });
  metrics.registerGauge("slices_owned", { help: "Slices owned here.", read: () => owned.slices.length });
  metrics.registerGauge("kept_turn_bytes", {
    help: "Content of kept turns in owned slices, in bytes.",
    read: () => owned.keptBytes,
  });
  metrics.registerGauge("strikes_known", {
    help: "Strikes of requests during which backend servers crashed.",
    read: () => crashes.strikeCount,
  });
  metrics.registerGauge("requests_quarantined", {
    help: "Requests that are refused because they crash backend servers.",
    read: () => crashes.quarantinedCount,
  });
  metrics.registerGauge("servers_limited", {
    help: "Backend servers that state a limit.",
    read: () => core.limits.list().length,
  });
  metrics.registerGauge("servers_unreachable", {
    help: "1 while no backend server accepts connections from this instance.",
    read: () => core.links.isCutOff ? 1 : 0,
  });
  metrics.registerGauge("forwards_active", {
    help: "Requests that are being sent to backend servers for other instances.",
    read: () => core.forwardService.activeCount,
  });
  metrics.registerGauge("reports_role", {
    help:
      "How this instance reports to others: 0 to all owners of slices, 1 to an aggregator, 2 as an aggregator.",
    read: () => REPORT_ROLES.indexOf(core.reports.role),
  });
  metrics.registerGauge("reports_members", {
    help: "Instances that report to this one as their aggregator.",
    read: () => core.reports.memberCount,
  });
  metrics.registerGauge("reports_instances", {
    help: "Instances that aggregators count; 0 if they are not known.",
    read: () => core.reports.instanceCount,
  });
  metrics.registerGauge("reports_summary_age_ms", {
    help: "Time since the aggregator's last summary, in ms; -1 if this instance receives none.",
    read: () => core.reports.summaryAgeMs ?? -1,
  });
  metrics.registerGauge("peers_known", {
    help: "Other instances that own slices.",
    read: () => group.peers.length,
  });
}
