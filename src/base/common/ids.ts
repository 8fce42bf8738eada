/** Identifiers of programs and their slices. */
import { hash32 } from "./hash.ts";

/** Slices into which the programs of a region are divided. */
export const SLICE_COUNT = 64;

/** Separates a sub-program's own part from its root's id. */
const CHILD_SEPARATOR = ".";

/** Id of the program at the root of a tree of sub-programs. */
export function rootOf(programId: string): string {
  const index = programId.indexOf(CHILD_SEPARATOR);
  return index < 0 ? programId : programId.slice(0, index);
}

/** Id of a sub-program. It shares the slice, and so the owner, of its root. */
export function childId(parentId: string, part: string): string {
  return `${rootOf(parentId)}${CHILD_SEPARATOR}${part}`;
}

/** Slice of a program. */
export function sliceOf(programId: string): number {
  return hash32(rootOf(programId)) % SLICE_COUNT;
}
