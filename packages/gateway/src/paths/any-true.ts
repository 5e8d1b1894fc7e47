/** Resolves to true as soon as one of the results does, and to false if none does. */
export async function anyTrue(results: readonly Promise<boolean>[]): Promise<boolean> {
  const firstTrue = new Promise<true>((resolve) => {
    for (const result of results) void result.then((value) => (value ? resolve(true) : undefined));
  });
  return Promise.race([firstTrue, Promise.all(results).then((values) => values.includes(true))]);
}
