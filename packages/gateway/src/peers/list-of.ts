import * as z from 'zod';

/** Elements of a list from outside, at most: more than any fleet, configuration or store needs. */
const MAX_LIST_LENGTH = 65_536;

/**
 * A list that is refused at its first element that is not valid, and before any element is read if it is too long. A
 * plain array schema reports each element, which takes many times the memory of the list itself.
 */
export function listOf<T>(item: z.ZodType<T>, maxLength = MAX_LIST_LENGTH) {
  return z
    .array(z.unknown())
    .max(maxLength)
    .transform((values, context): T[] => {
      const read: T[] = [];
      for (const [index, value] of values.entries()) {
        const { data, error } = item.safeParse(value);
        if (error === undefined) read.push(data);
        else {
          const [issue] = error.issues;
          context.addIssue({
            code: 'custom',
            message: issue?.message ?? 'not valid',
            path: [index, ...(issue?.path ?? [])],
          });
          return z.NEVER;
        }
      }
      return read;
    });
}
