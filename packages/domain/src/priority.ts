/** Priority classes, higher first. Engines are given the number. */
export const Priority = { interactive: 2, standard: 1, batch: 0 } as const;

export type PriorityName = keyof typeof Priority;
