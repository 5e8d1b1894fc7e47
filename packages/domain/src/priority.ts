/** Priority classes, highest first. Engines receive the number. */
export const Priority = { interactive: 2, standard: 1, batch: 0 } as const;

export type PriorityName = keyof typeof Priority;
