/** Identifiers of programs and their slices. */
import { hash32 } from "./hash.ts";

/** Number of slices into which the programs of a region are partitioned. */
export const SLICE_COUNT = 64;

/** Separates the root program's id from the sub-program's part. */
const SUB_PROGRAM_SEPARATOR = ".";

/** Id of the root program of a tree of sub-programs. */
export function rootProgramId(programId: string): string {
  const index = programId.indexOf(SUB_PROGRAM_SEPARATOR);
  return index < 0 ? programId : programId.slice(0, index);
}

/** Id of a sub-program. It is in the same slice as its root program, and so has the same owner. */
export function subProgramId(parentId: string, part: string): string {
  return `${rootProgramId(parentId)}${SUB_PROGRAM_SEPARATOR}${part}`;
}

/** Number of the slice that a program belongs to. */
export function sliceOf(programId: string): number {
  return hash32(rootProgramId(programId)) % SLICE_COUNT;
}
