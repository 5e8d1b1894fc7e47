import { runInBackground, type Telemetry } from '@canvasridge/telemetry';

/**
 * Resolves to true as soon as one of the results does, and to false if none does. A result that rejects is logged as
 * `task.failed` and counts as false.
 * @param name of what gives the results, for the log line
 */
export async function anyTrue(
  telemetry: Pick<Telemetry, 'event'>,
  name: string,
  results: readonly Promise<boolean>[],
): Promise<boolean> {
  const firstTrue = new Promise<true>((resolve) => {
    for (const result of results)
      runInBackground(telemetry, name, async () => {
        if (await result) resolve(true);
      });
  });
  const any = Promise.allSettled(results).then((settled) =>
    settled.some((result) => result.status === 'fulfilled' && result.value),
  );
  return Promise.race([firstTrue, any]);
}
