import test from "ava";
import { ReportRole } from "../../peer/common/report_exchange.ts";
import type { GatewayCore } from "./gateway_core.ts";
import { registerGatewayGauges } from "./gateway_gauges.ts";
import { Metrics } from "../../services/metrics/common/metrics.ts";

test("gauges show the age of the last reads, and version -1 before the first configuration", (t) => {
  const metrics = new Metrics();
  const core = {
    metrics,
    routes: { configuration: undefined },
    directory: { size: 3 },
    owned: { slices: [1, 2], keptBytes: 10 },
    group: { peers: ["a"] },
    configuration: { lastReadMs: 400 },
    backends: { lastReadMs: 900 },
    crashes: { strikeCount: 4, quarantinedCount: 1 },
    limits: { list: () => [1, 2] },
    links: { isCutOff: true },
    forwardService: { activeCount: 5 },
    reports: { role: ReportRole.Member, memberCount: 0, instanceCount: 88, summaryAgeMs: 60 },
  } as unknown as GatewayCore;
  registerGatewayGauges({ core, activeRequests: () => 7, droppedLines: () => 0, now: () => 1000 });
  const text = metrics.render();
  for (
    const line of [
      "ragwortcleat_configuration_version -1",
      "ragwortcleat_configuration_age_ms 600",
      "ragwortcleat_backends_age_ms 100",
      "ragwortcleat_slices_owned 2",
      "ragwortcleat_strikes_known 4",
      "ragwortcleat_requests_quarantined 1",
      "ragwortcleat_requests_active 7",
      "ragwortcleat_servers_limited 2",
      "ragwortcleat_servers_unreachable 1",
      "ragwortcleat_forwards_active 5",
      "ragwortcleat_reports_role 1",
      "ragwortcleat_reports_members 0",
      "ragwortcleat_reports_instances 88",
      "ragwortcleat_reports_summary_age_ms 60",
    ]
  ) t.true(text.includes(line), line);
});
