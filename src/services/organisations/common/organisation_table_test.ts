import test from "ava";
import type { IOrganisation } from "./organisation.ts";
import { combinedPriority, mayContinue, scopedId } from "./organisation_scope.ts";
import { OrganisationTable } from "./organisation_table.ts";

function organisation(name: string, keyDigests: string[], priority?: number): IOrganisation {
  return { name, keyDigests, priority, allotment: undefined };
}

test("an organisation is found by each of its keys until an update removes them", (t) => {
  const table = new OrganisationTable();
  t.false(table.isConfigured);
  table.update([organisation("a", ["d1", "d2"]), organisation("b", ["d2", "d3"]), organisation("c", [])]);
  const namesOf = () => ["d1", "d2", "d3", "d4", undefined].map((digest) => table.find(digest)?.name);
  t.deepEqual(namesOf(), ["a", "a", "b", undefined, undefined]);
  table.update([organisation("b", ["d2"])]);
  t.deepEqual(namesOf(), [undefined, "b", undefined, undefined, undefined]);
  table.update([]);
  t.true(table.isConfigured);
  t.is(table.find("d2"), undefined);
  table.update(undefined);
  t.false(table.isConfigured);
});

test("ids of different organisations differ, and without an organisation they stay as they are", (t) => {
  t.is(scopedId("p", undefined), "p");
  t.is(scopedId("p", ""), "p");
  const ids = [
    scopedId("p", "a"),
    scopedId("p", "b"),
    scopedId("bp", "a"),
    scopedId("p", "ab"),
    scopedId("", "ap"),
  ];
  t.is(new Set([...ids, "p", "ap"]).size, 7);
});

test("only the own history and that of no owner can be continued", (t) => {
  t.true(mayContinue("a", "a"));
  t.true(mayContinue(undefined, "a"));
  t.true(mayContinue("a", undefined));
  t.true(mayContinue("", ""));
  for (const [owner, caller] of [["a", "b"], ["a", ""], ["", "a"]]) t.false(mayContinue(owner, caller));
});

test("the organisation's priority comes first, then the route's", (t) => {
  const priority = (own: number | undefined, route: number) =>
    combinedPriority(organisation("a", [], own), { priority: route });
  const ordered = [
    priority(0, 0),
    priority(0, 1),
    priority(0, 9),
    priority(1, 0),
    priority(1, 5),
    priority(2, 0),
  ];
  t.deepEqual(ordered, [...new Set(ordered)].sort((a, b) => a - b));
  t.is(priority(undefined, 5), 5);
  t.is(combinedPriority(undefined, { priority: 3 }), 3);
});
