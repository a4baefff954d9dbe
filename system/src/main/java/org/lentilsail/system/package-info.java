/**
 * Runs full deployments as local processes: quickstart, benchmark of the request path, resource use
 * by fleet size, and system tests.
 */
package org.lentilsail.system;
